package streamer

import (
	"context"
	"net"
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/internal/emulator/breaker"
)

// Guards against an order, a cancellation or a report of an engine that counts as answered although its answer is broken (operators'
// report).
func TestBrokenAnswers(t *testing.T) {
	for name, answer := range breaker.Answers() {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = listener.Close() })
			breaker.Serve(listener, answer)
			client, address := newTestClient(t), listener.Addr().String()
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			_, loadErr := client.Load(ctx, address)
			for what, err := range map[string]error{
				"load":   loadErr,
				"order":  client.Order(ctx, address, Order{}),
				"cancel": client.Cancel(ctx, address, "request"),
				"stream": client.Stream(ctx, address, Completion{}, func(Token) error { return nil }),
			} {
				if err == nil {
					t.Errorf("%s counts as answered", what)
				}
			}
		})
	}
}
