package breaker

import (
	"fmt"
	"io"
	"net"
	"time"
)

// arrivalTime is long enough for an answer to arrive before the reset after it.
const arrivalTime = 20 * time.Millisecond

// End is how a server ends a connection after its answer.
type End int

const (
	// Closed ends it in order.
	Closed End = iota
	// Reset ends it by a reset.
	Reset
	// Silent keeps it open until the client closes it.
	Silent
)

// Answer is what a server sends, and how it ends the connection.
type Answer struct {
	Text string
	End  End
}

const (
	// fields are the fields of an answer's head.
	fields = "Content-Type: application/json\r\n"
	// head begins the head of a success that an instance would pass on.
	head = "HTTP/1.1 200 OK\r\n" + fields
	// rest completes an answer after its status.
	rest = "\r\n" + fields + "Content-Length: 2\r\n\r\n{}"
)

// Answers returns broken answers by what is wrong with them; as far as their bodies arrive, they are valid JSON.
func Answers() map[string]Answer {
	answers := map[string]Answer{
		"reset without a length": {
			Text: head + "\r\n{}",
			End:  Reset,
		},
		"silent without a length": {
			Text: head + "\r\n{}",
			End:  Silent,
		},
		"status 000": {
			Text: "HTTP/1.1 000 Trouble" + rest,
		},
		"status 000 before a success": {
			Text: "HTTP/1.1 000 Trouble\r\n\r\n" + head + "Content-Length: 2\r\n\r\n{}",
		},
		"status 099": {
			Text: "HTTP/1.1 099 Trouble" + rest,
		},
		"status +20": {
			Text: "HTTP/1.1 +20 Trouble" + rest,
		},
		"status 101": {
			Text: "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other" + rest,
		},
		"status 600": {
			Text: "HTTP/1.1 600 Trouble" + rest,
		},
		"status 999": {
			Text: "HTTP/1.1 999 Trouble" + rest,
		},
		"status 103 and no other": {
			Text: "HTTP/1.1 103 Early Hints\r\n\r\n",
		},
		"status 000 after an informational answer": {
			Text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Trouble" + rest,
		},
	}
	for what, line := range FieldLines() {
		answers[what] = Answer{
			Text: head + line + "\r\nContent-Length: 2\r\n\r\n{}",
		}
		answers[what+", no length"] = Answer{
			Text: head + line + "\r\n\r\n{}",
		}
	}
	return answers
}

// FieldLines returns lines of a head with invalid field names, by what is wrong with them.
func FieldLines() map[string]string {
	lines := map[string]string{
		"blank in a name":                      "Trouble here: 1",
		"blank after a name":                   "Trouble : 1",
		"blank after Transfer-Encoding":        "Transfer-Encoding : chunked",
		"blank after Content-Length":           "Content-Length : 1",
		"control byte after Transfer-Encoding": "Transfer-Encoding\x01: chunked",
		"control byte after Content-Length":    "Content-Length\x1f: 1",
		"blank before a name":                  " Trouble: 1",
		"tab before a name":                    "\tTrouble: 1",
		"blank before Transfer-Encoding":       " Transfer-Encoding: chunked",
		"blank before Content-Length":          " Content-Length: 1",
		"empty name":                           ": 1",
	}
	for _, c := range []byte{0, 1, '\t', '\v', '\r', 0x1b, 0x7f} {
		lines[fmt.Sprintf("control byte %#x in a name", c)] = "Trou" + string(rune(c)) + "ble: 1"
	}
	return lines
}

// Serve sends the answer to each request on the listener.
func Serve(listener net.Listener, a Answer) {
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go respond(conn, a)
		}
	}()
}

func respond(conn net.Conn, a Answer) {
	defer func() { _ = conn.Close() }()
	// What the client asks for doesn't matter.
	_, _ = conn.Read(make([]byte, 64<<10))
	_, _ = io.WriteString(conn, a.Text)
	switch a.End {
	case Reset:
		time.Sleep(arrivalTime)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	case Silent:
		_, _ = io.Copy(io.Discard, conn)
	case Closed:
	}
}
