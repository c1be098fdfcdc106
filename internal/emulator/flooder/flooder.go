package flooder

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
)

// partRepeats is how often the repeated bytes are sent at once.
const partRepeats = 1024

// Answer is an answer without an end: a beginning, and bytes that are repeated after it.
type Answer struct {
	Beginning string
	Repeated  string
}

// Answers returns answers that have no end in their header or their body, by what has none.
func Answers() map[string]Answer {
	const ok = "HTTP/1.1 200 OK\r\n"
	return map[string]Answer{
		"header line": {
			Beginning: ok + "Long: ",
			Repeated:  "x",
		},
		"header lines": {
			Beginning: ok,
			Repeated:  "Name: value\r\n",
		},
		"no protocol": {
			Repeated: "no answer ",
		},
		"body without length": {
			Beginning: ok + "\r\n",
			Repeated:  "x",
		},
		"chunks": {
			Beginning: ok + "Transfer-Encoding: chunked\r\n\r\n",
			Repeated:  "400\r\n" + strings.Repeat("x", 1024) + "\r\n",
		},
		"long length": {
			Beginning: ok + "Content-Length: 1000000000000\r\n\r\n",
			Repeated:  "x",
		},
	}
}

// Serve answers each connection of the listener with the beginning, and then repeats the bytes until the connection is closed. It returns
// the number of repeated bytes that were sent.
func Serve(listener net.Listener, a Answer) *atomic.Int64 {
	sent := &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go flood(conn, a.Beginning, strings.Repeat(a.Repeated, partRepeats), sent)
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
