package follower_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"bergamothollow.example/bergamothollow/internal/emulator/runner"
	"bergamothollow.example/bergamothollow/internal/follower"
)

// start serves a response of three events at each path. After them, /whole ends the response, /hung keeps it open and /cut
// drops the connection.
func start(t *testing.T) string {
	t.Helper()
	server, err := runner.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server.GET("/:path", func(ctx context.Context, c *app.RequestContext) {
		w := sse.NewWriter(c)
		for _, data := range []string{"0", "1", "2"} {
			_ = w.WriteEvent("", "", []byte(data))
		}
		switch c.Param("path") {
		case "hung":
			<-ctx.Done()
			runner.Drop(c)
		case "cut":
			runner.Drop(c)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, t.Output()) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return "http://" + server.Address()
}

func TestFollow(t *testing.T) {
	base := start(t)
	c, err := client.NewClient(client.WithResponseBodyStream(true), client.WithDialer(standard.NewDialer()))
	if err != nil {
		t.Fatal(err)
	}
	follow := func(ctx context.Context, path string, last string, fail error) (int, error) {
		req, resp := &protocol.Request{}, &protocol.Response{}
		req.SetRequestURI(base + path)
		if err := c.Do(ctx, req, resp); err != nil {
			t.Fatal(err)
		}
		events := 0
		err := follower.Follow(ctx, resp, 1000, func(data []byte) (bool, error) {
			events++
			return string(data) == last, fail
		})
		return events, err
	}

	// Guards against a stream that breaks because the context of another stream ended just after its last event.
	t.Run("contexts that end late", func(t *testing.T) {
		for i := range 300 {
			ctx, cancel := context.WithCancel(context.Background())
			events, err := follow(ctx, "/whole", "2", nil)
			cancel()
			if events != 3 || err != nil {
				t.Fatalf("stream %d: got %d events, %v", i, events, err)
			}
		}
	})

	// Guards against a read that continues after its context ended, and a truncated response that is taken for complete.
	failure := errors.New("failed")
	for _, test := range []struct {
		name string
		path string
		fail error
		want error
	}{
		{name: "context ends", path: "/hung", want: context.DeadlineExceeded},
		{name: "receiver fails", path: "/hung", fail: failure, want: failure},
		{name: "ends early", path: "/whole", want: io.ErrUnexpectedEOF},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			begin := time.Now()
			if _, err := follow(ctx, test.path, "none", test.fail); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
			if took := time.Since(begin); took > 2*time.Second {
				t.Errorf("took %v", took)
			}
		})
	}
	t.Run("cut", func(t *testing.T) {
		if _, err := follow(context.Background(), "/cut", "none", nil); err == nil {
			t.Error("a response whose connection was dropped ends without an error")
		}
	})
}
