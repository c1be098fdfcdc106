package follower

import (
	"context"
	"errors"
	"io"
	"sync"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
)

// Follow calls receive with the data of each event until receive reports the last one. It fails if receive fails, the
// context ends, or the response ends before the last event (io.ErrUnexpectedEOF). It closes the body of the response;
// the connection is reused only after the last event.
//
// The ForEach of hertz is not used because response streams are pooled: if its context ends just after the last event,
// ForEach may close the connection of another response.
func Follow(ctx context.Context, resp *protocol.Response, maxEventBytes int, receive func(data []byte) (last bool, err error)) error {
	closer := &streamCloser{
		stream: resp.BodyStream(),
	}
	stop := context.AfterFunc(ctx, closer.closeConnection)
	defer func() {
		stop()
		closer.release()
		_ = resp.CloseBodyStream() // the error does not matter, since nothing more is read
	}()
	err := readEvents(ctx, resp, maxEventBytes, receive)
	if err != nil {
		// Otherwise closing the body would wait for the rest of the response.
		closer.closeConnection()
	}
	return err
}

func readEvents(ctx context.Context, resp *protocol.Response, maxEventBytes int, receive func([]byte) (bool, error)) error {
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

// streamCloser interrupts a blocked read by closing the connection, but not after release: the stream may then have
// returned to its pool and belong to another response.
type streamCloser struct {
	mu       sync.Mutex
	stream   io.Reader
	released bool
}

func (c *streamCloser) closeConnection() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released {
		return
	}
	if s, ok := c.stream.(interface{ ForceClose() error }); ok {
		_ = s.ForceClose() // the connection is not reused even if closing it fails
	}
}

func (c *streamCloser) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.released = true
}
