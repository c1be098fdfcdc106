package storer

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// Guards against a call of the store that counts as done although only a part of the response's head arrived.
func TestHeadCutOff(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n"
	for cut := range len(head) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 64<<10))
			_, _ = io.WriteString(conn, head[:cut])
			_ = conn.Close()
		}()
		transport, err := NewTransport(listener.Addr().String(), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		_, err = transport.Do(context.Background(), HTTPRequest{Method: "PUT", Path: "/a"})
		var unavailable *UnavailableError
		if !errors.As(err, &unavailable) || !unavailable.Sent {
			t.Errorf("cut after %q: got %v, want an UnavailableError that doesn't deny the call", head[:cut], err)
		}
		_ = listener.Close()
	}
}
