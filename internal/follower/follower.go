package follower

import (
	"context"
	"errors"
	"io"
	"sync"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
)

// Follow hands the data of each event to receive until that reports the last one, receive fails, the context ends or
// the response ends early, which is io.ErrUnexpectedEOF. It closes the response's body; only after the last event is
// the connection used again.
//
// The ForEach of hertz is not used: when its context ends just after the last event, it may close the connection of
// another response, because response streams are pooled.
func Follow(ctx context.Context, resp *protocol.Response, maxEventBytes int, receive func(data []byte) (last bool, err error)) error {
	closer := &closer{
		stream: resp.BodyStream(),
	}
	stop := context.AfterFunc(ctx, closer.interrupt)
	defer func() {
		stop()
		closer.end()
		_ = resp.CloseBodyStream() // nothing more is read from it
	}()
	err := follow(ctx, resp, maxEventBytes, receive)
	if err != nil {
		// Closing the body would otherwise wait for the rest of the response.
		closer.interrupt()
	}
	return err
}

func follow(ctx context.Context, resp *protocol.Response, maxEventBytes int, receive func([]byte) (bool, error)) error {
	reader, err := sse.NewReader(resp)
	if err != nil {
		return err
	}
	reader.SetMaxBufferSize(maxEventBytes)
	event := sse.NewEvent()
	defer event.Release()
	for {
		err := reader.Read(event)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
		if last, err := receive(event.Data); last || err != nil {
			return err
		}
	}
}

// closer interrupts a blocked read by closing its connection, but never after the stream went back to its pool.
type closer struct {
	mu     sync.Mutex
	stream io.Reader
	ended  bool
}

func (c *closer) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	if s, ok := c.stream.(interface{ ForceClose() error }); ok {
		_ = s.ForceClose() // the connection is given up either way
	}
}

func (c *closer) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
}
