package acceptance

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const (
	hostileTimeout = 25 * time.Second
	// deafTime is longer than the time without a read after which an instance ends a request.
	deafTime = 13 * time.Second
	// deafTokens make an answer longer than the kernel's buffers of a connection.
	deafTokens = 40_000
)

// runHostile is a caller that misbehaves: hostile endless|flood|gone|deaf ADDRESS
// It sends a body without an end (endless) or header lines without an end (flood), disconnects during the answer (gone), or
// does not read the answer for deafTime (deaf). It prints the end of what it received.
func runHostile(_ context.Context, arguments []string, stdout, stderr io.Writer) int {
	if len(arguments) != 2 {
		_, _ = fmt.Fprintln(stderr, "usage: hostile endless|flood|gone|deaf ADDRESS")
		return 2
	}
	if err := misbehave(stdout, arguments[0], arguments[1]); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 1
	}
	return 0
}

func misbehave(w io.Writer, kind, address string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(hostileTimeout)); err != nil {
		return err
	}
	head := "POST /v1/completions HTTP/1.1\r\nHost: x\r\nBergamothollow-Customer: crew-shares\r\nBergamothollow-Deadline: 5m\r\n"
	switch kind {
	case "endless":
		go func() {
			chunk := fmt.Sprintf("%x\r\n%s\r\n", 1<<20, strings.Repeat(" ", 1<<20))
			_, err := io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\n")
			for err == nil {
				_, err = io.WriteString(conn, chunk)
			}
		}()
	case "flood":
		go func() {
			_, err := io.WriteString(conn, head)
			for err == nil {
				_, err = io.WriteString(conn, "X-Flood: "+strings.Repeat("y", 1000)+"\r\n")
			}
		}()
	case "gone", "deaf":
		tokens := 4000
		if kind == "deaf" {
			tokens = deafTokens
			if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
				return err
			}
		}
		body := fmt.Sprintf(`{"model":"statement","prompt":"a b","stream":true,"max_tokens":%d}`, tokens)
		if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body); err != nil {
			return err
		}
		if kind == "gone" {
			_, err := io.ReadAtLeast(conn, make([]byte, 2000), 1000)
			return err
		}
		time.Sleep(deafTime)
	}
	received, err := io.ReadAll(conn)
	if len(received) == 0 && err != nil {
		return err
	}
	_, err = w.Write(append(bytes.ToValidUTF8(received[max(0, len(received)-1000):], nil), '\n'))
	return err
}
