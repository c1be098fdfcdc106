package caller

import (
	"context"
	"net"
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/internal/controller"
	"bergamothollow.example/bergamothollow/internal/emulator/breaker"
	"bergamothollow.example/bergamothollow/pkg/timer"
)

// Guards against passing on, and storing for repeats, the broken answer of a service as the outcome of a call (operators' report).
func TestBrokenAnswers(t *testing.T) {
	for name, answer := range breaker.Answers() {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = listener.Close() })
			breaker.Serve(listener, answer)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			c, err := New(ctx, Options{
				Clock: timer.System{},
			})
			if err != nil {
				t.Fatal(err)
			}
			call := Call{
				Request: &controller.CallRequest{
					Call: "pay",
				},
			}
			placement := controller.CallPlacement{
				Address: listener.Addr().String(),
			}
			outcome, mayHaveRun, err := c.send(ctx, call, placement, time.Now().Add(300*time.Millisecond))
			if err == nil || !mayHaveRun {
				t.Errorf("got status %d, body %q, error %v, may have run: %t; want an error of a call that may have run",
					outcome.Status, outcome.Body, err, mayHaveRun)
			}
		})
	}
}
