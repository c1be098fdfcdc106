package streamer

import (
	"context"
	"net"
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/internal/emulator/flooder"
)

// maxEndlessBytes is what may be sent of an endless answer, with what the sockets buffer: a third of the memory of the smallest instances,
// which is all that answers may hold together.
const maxEndlessBytes = 184 << 20 / 3

// endlessAnswers returns the answers without an end that an engine may send.
func endlessAnswers() map[string]flooder.Answer {
	answers := flooder.Answers()
	answers["refusal"] = flooder.Answer{
		Beginning: "HTTP/1.1 503 Service Unavailable\r\n\r\n",
		Repeated:  "x",
	}
	answers["event"] = flooder.Answer{
		Beginning: "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ",
		Repeated:  "x",
	}
	return answers
}

// Guards against a process that runs out of memory while an engine sends bytes without end, in answer to an order or in a stream
// (operators' report).
func TestEndlessAnswer(t *testing.T) {
	for name, answer := range endlessAnswers() {
		for kind, ask := range map[string]func(ctx context.Context, c *Client, address string) error{
			"order": func(ctx context.Context, c *Client, address string) error {
				_, err := c.Requests(ctx, address)
				return err
			},
			"stream": func(ctx context.Context, c *Client, address string) error {
				return c.Stream(ctx, address, Completion{}, func(Token) error { return nil })
			},
		} {
			t.Run(kind+", "+name, func(t *testing.T) {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = listener.Close() })
				sent := flooder.Serve(listener, answer)
				const timeout = 5 * time.Second
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				began := time.Now()
				if err := ask(ctx, newTestClient(t), listener.Addr().String()); err == nil {
					t.Error("an answer without an end was accepted")
				}
				if took := time.Since(began); took >= timeout {
					t.Errorf("the answer was read for %s", took)
				}
				if got := sent.Load(); got > maxEndlessBytes {
					t.Errorf("%d bytes were read, want at most %d", got, maxEndlessBytes)
				}
			})
		}
	}
}
