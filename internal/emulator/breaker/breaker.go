package breaker

import (
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

// head begins the head of a success that an instance would pass on.
const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

// Answers returns broken answers by what is wrong with them. Their body would be a valid one if it were taken for whole.
func Answers() map[string]Answer {
	return map[string]Answer{
		"reset without a length": {
			Text: head + "\r\n{}",
			End:  Reset,
		},
		"silent without a length": {
			Text: head + "\r\n{}",
			End:  Silent,
		},
	}
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
