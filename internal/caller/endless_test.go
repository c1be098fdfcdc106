package caller

import (
	"context"
	"net"
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/internal/controller"
	"bergamothollow.example/bergamothollow/internal/emulator/flooder"
	"bergamothollow.example/bergamothollow/pkg/timer"
)

// maxEndlessBytes is what may be sent of an endless answer, with what the sockets buffer: a third of the memory of the smallest instances,
// which is all that answers may hold together.
const maxEndlessBytes = 184 << 20 / 3

// Guards against a process that runs out of memory while a service sends bytes without end (operators' report).
func TestEndlessAnswer(t *testing.T) {
	for name, answer := range flooder.Answers() {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = listener.Close() })
			sent := flooder.Serve(listener, answer)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			c, err := New(ctx, Options{
				Clock: timer.System{},
			})
			if err != nil {
				t.Fatal(err)
			}
			const timeout = 5 * time.Second
			began := time.Now()
			call := Call{
				Request: &controller.CallRequest{
					Call: "pay",
				},
			}
			placement := controller.CallPlacement{
				Address: listener.Addr().String(),
			}
			_, mayHaveRun, err := c.send(ctx, call, placement, began.Add(timeout))
			if err == nil || !mayHaveRun {
				t.Errorf("got %v, may have run: %t; want an error of a call that may have run", err, mayHaveRun)
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
