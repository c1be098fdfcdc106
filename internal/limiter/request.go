package limiter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"bergamothollow.example/bergamothollow/pkg/rationer"
)

const (
	// stallTimeout bounds the time without bytes of a body; bodyTimeout bounds the time for the whole body.
	stallTimeout = 10 * time.Second
	bodyTimeout  = time.Minute
	// chunkBytes is the most that is read of a chunk at once: the HTTP server holds that much in a buffer.
	chunkBytes = 4 << 10
	// checkWork is the bytes of a body after which the clock is read; each part counts as partWork more.
	checkWork = 4 << 10
	partWork  = 64
)

// BodyTooLongError means that a body is longer than the limit.
type BodyTooLongError struct {
	Limit int
}

// Error returns the message with the limit.
func (e *BodyTooLongError) Error() string {
	return fmt.Sprintf("the body is over %d bytes: shorten it", e.Limit)
}

// BodySlowError means that a body didn't arrive in time.
type BodySlowError struct {
	After time.Duration
}

// Error returns the message with the time that the body was given.
func (e *BodySlowError) Error() string {
	return fmt.Sprintf("the body did not arrive within %s: send it faster", e.After.Round(time.Second))
}

// MemoryFullError means that requests which are being read take all memory that they may.
type MemoryFullError struct{}

// Error returns the message.
func (*MemoryFullError) Error() string {
	return "requests that are being read take all memory for them: repeat it"
}

// BodyBrokenError means that a body ended early or cannot be read.
type BodyBrokenError struct {
	Cause error
}

// Error returns the message with the cause.
func (e *BodyBrokenError) Error() string {
	return "the body ended early or cannot be read: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BodyBrokenError) Unwrap() error {
	return e.Cause
}

type connKey struct{}

// Options returns the options of an HTTP server whose connections the limiter bounds.
func (l *Limiter) Options(listener net.Listener) []config.Option {
	return []config.Option{
		server.WithListener(l.Listen(listener)),
		// The other transport reads without bound what callers send while they wait for an answer.
		server.WithTransport(standard.NewTransporter),
		server.WithSenseClientDisconnection(true),
		server.WithStreamBody(true),
		server.WithDisablePreParseMultipartForm(true),
		server.WithOnAccept(func(conn net.Conn) context.Context {
			return context.WithValue(context.Background(), connKey{}, conn)
		}),
	}
}

// closeDetector is what the HTTP server's connections have to find out that the caller has closed them.
type closeDetector interface {
	DetectConnectionClose()
	AbortBlockingRead()
}

// Request is a request whose header has been read.
type Request struct {
	limiter *Limiter
	conn    *Conn
	context *app.RequestContext
	ration  *rationer.Body
	whole   bool
	detects closeDetector
}

// Enter begins a request; Leave must be called at its end.
func (l *Limiter) Enter(ctx context.Context, c *app.RequestContext) *Request {
	r := &Request{
		limiter: l,
		context: c,
		whole:   !c.Request.IsBodyStream() || c.Request.Header.ContentLength() == 0,
	}
	r.conn, _ = ctx.Value(connKey{}).(*Conn)
	if r.conn != nil && r.whole {
		r.conn.enterAnswer()
	}
	return r
}

// enterAnswer begins to answer. The HTTP server may already read ahead, so that only what is safe then is changed.
func (c *Conn) enterAnswer() {
	c.since.Store(c.limiter.clock.Now().UnixNano())
	c.phase.Store(answering)
}

// Leave ends a request: its memory is free, and a body that hasn't been read is discarded.
func (r *Request) Leave() {
	if r.detects != nil {
		r.detects.AbortBlockingRead()
	}
	if r.conn == nil {
		return
	}
	l := r.limiter
	l.mu.Lock()
	if r.ration != nil {
		l.rationer.Close(r.ration)
	}
	r.conn.releaseHead()
	l.mu.Unlock()
	if !r.whole {
		r.context.SetConnectionClose()
		r.conn.discard()
		return
	}
	r.conn.since.Store(l.clock.Now().UnixNano())
	r.conn.phase.Store(idle)
}

// Body reads the body, which may have limit bytes. Its memory counts until Leave.
func (r *Request) Body(limit int) ([]byte, error) {
	if r.whole {
		return nil, nil
	}
	announced := r.context.Request.Header.ContentLength()
	if announced > limit {
		r.limiter.Count(BodyTooLong)
		return nil, &BodyTooLongError{
			Limit: limit,
		}
	}
	l := r.limiter
	began := l.clock.Now()
	l.mu.Lock()
	r.ration = l.rationer.Open(began, func() {
		l.Count(BodyGivenUp)
		if r.conn != nil {
			r.conn.lose()
		}
	})
	if r.conn != nil {
		r.conn.releaseHead()
	}
	l.mu.Unlock()
	if r.conn != nil {
		r.conn.chunked = announced < 0
		r.conn.enter(body)
	}
	text, err := r.read(began, announced, limit)
	if err != nil {
		return nil, r.failed(err, began)
	}
	r.whole = true
	if r.conn != nil {
		r.conn.enterAnswer()
	}
	// The HTTP server doesn't do this for a body that is read by the handler.
	if d, ok := r.context.GetConn().(closeDetector); ok {
		d.DetectConnectionClose()
		r.detects = d
	}
	return text, nil
}

// read reads the body into blocks, which others use after it: bodies that are given up leave no garbage.
func (r *Request) read(began time.Time, announced, limit int) ([]byte, error) {
	source := r.context.RequestBodyStream()
	conn := r.context.GetConn()
	if err := conn.SetReadTimeout(stallTimeout); err != nil {
		return nil, err
	}
	text := pieces{}
	defer text.free()
	work, renewed := 0, began
	for {
		if text.full() && !r.resize(r.limiter.clock.Now(), text.add(announced)) {
			return nil, &MemoryFullError{}
		}
		part := text.rest()
		if announced < 0 {
			part = part[:min(len(part), chunkBytes)]
		}
		if r.conn != nil {
			r.conn.beginPart(len(part) + framingBytes)
		}
		n, err := source.Read(part)
		text.length += n
		switch {
		case text.length > limit:
			return nil, &BodyTooLongError{
				Limit: limit,
			}
		case errors.Is(err, io.EOF) && (announced < 0 || text.length == announced):
			return r.join(&text)
		case err != nil:
			return nil, err
		}
		if work += n + partWork; work < checkWork {
			continue
		}
		work = 0
		now := r.limiter.clock.Now()
		if now.Sub(began) > bodyTimeout {
			return nil, &BodySlowError{
				After: bodyTimeout,
			}
		}
		if now.Sub(renewed) > stallTime/2 {
			renewed = now
			r.advance(now)
			if err := conn.SetReadTimeout(stallTimeout); err != nil {
				return nil, err
			}
		}
	}
}

// join returns the whole body. While it is copied, the blocks and the copy count.
func (r *Request) join(text *pieces) ([]byte, error) {
	l := r.limiter
	l.mu.Lock()
	l.rationer.Complete(r.ration)
	l.mu.Unlock()
	if whole := text.whole(); whole != nil {
		return whole, nil
	}
	now := l.clock.Now()
	if !r.resize(now, text.capacity+text.length) {
		return nil, &MemoryFullError{}
	}
	whole := text.join()
	r.resize(now, text.length)
	return whole, nil
}

func (r *Request) resize(now time.Time, bytes int) bool {
	l := r.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rationer.Advance(now, r.ration)
	return l.rationer.Resize(now, r.ration, int64(bytes))
}

func (r *Request) advance(now time.Time) {
	l := r.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rationer.Advance(now, r.ration)
}

// failed returns the error for a body that couldn't be read.
func (r *Request) failed(err error, began time.Time) error {
	var tooLong *BodyTooLongError
	var slow *BodySlowError
	var full *MemoryFullError
	var network net.Error
	switch {
	case errors.As(err, &tooLong):
		r.limiter.Count(BodyTooLong)
		return err
	case r.conn != nil && r.conn.lost.Load():
		return &MemoryFullError{}
	case errors.As(err, &full):
		r.limiter.Count(MemoryFull)
		return err
	case errors.As(err, &slow):
		r.limiter.Count(BodySlow)
		return err
	case errors.As(err, &network) && network.Timeout():
		r.limiter.Count(BodySlow)
		return &BodySlowError{
			After: r.limiter.clock.Now().Sub(began),
		}
	default:
		return &BodyBrokenError{
			Cause: err,
		}
	}
}

// requestName is the name under which a request's context has its Request.
const requestName = "limiter"

// Filter is a filter that begins and ends the requests of a server.
func (l *Limiter) Filter(ctx context.Context, c *app.RequestContext) {
	r := l.Enter(ctx, c)
	defer r.Leave()
	c.Set(requestName, r)
	c.Next(ctx)
}

// Of returns the request that Filter has begun; it is nil without the filter.
func Of(c *app.RequestContext) *Request {
	r, _ := c.Value(requestName).(*Request)
	return r
}
