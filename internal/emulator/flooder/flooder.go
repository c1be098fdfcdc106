package flooder

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
)

// partRepeats is how often the repeated bytes are sent at once.
const partRepeats = 1024

// Serve answers each connection of the listener with the beginning, and then repeats the bytes until the connection is closed. It returns
// the number of repeated bytes that were sent.
func Serve(listener net.Listener, beginning, repeated string) *atomic.Int64 {
	sent := &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go flood(conn, beginning, strings.Repeat(repeated, partRepeats), sent)
		}
	}()
	return sent
}

func flood(conn net.Conn, beginning, part string, sent *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	// What the caller asks for doesn't matter.
	_, _ = conn.Read(make([]byte, 64<<10))
	_, err := io.WriteString(conn, beginning)
	for err == nil && part != "" {
		n := 0
		n, err = io.WriteString(conn, part)
		sent.Add(int64(n))
	}
}
