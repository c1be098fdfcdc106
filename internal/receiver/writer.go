package receiver

import (
	"io"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"bergamothollow.example/bergamothollow/internal/forwarder"
)

// writer writes a target's answer to the caller.
type writer struct {
	server  *Server
	context *app.RequestContext
	request *request
	// begun is set once parts of an answer may have been sent.
	begun bool
	// written counts the bytes of answers' bodies.
	written int
	stream  network.ExtWriter
}

// copyHeader copies the answer's status and end-to-end headers to the response.
func (w *writer) copyHeader(a *forwarder.Answer) {
	w.context.SetStatusCode(a.Status)
	named := a.Header.Get("Connection")
	header := &w.context.Response.Header
	header.SetNoDefaultContentType(true)
	for name, values := range a.Header {
		if !forwarder.EndToEnd(name, named) {
			continue
		}
		for _, v := range values {
			header.Add(name, v)
		}
	}
}

// writeAnswer sends an answer that has been read completely, and returns once the caller's connection has taken it: until then the request
// counts as in progress, and its memory is held.
func (w *writer) writeAnswer(a *forwarder.Answer, body []byte) error {
	c := w.context
	w.copyHeader(a)
	w.begun = true
	w.written += len(body)
	c.Response.SetBodyRaw(body)
	c.Response.SkipBody = c.IsHead()
	if c.Request.Header.ConnectionClose() {
		c.SetConnectionClose()
	}
	out := c.GetWriter()
	if err := resp.Write(&c.Response, out); err != nil {
		return err
	}
	if err := out.Flush(); err != nil {
		return err
	}
	// Nothing is left for Hertz to write.
	c.Response.HijackWriter(discard{})
	return nil
}

// beginStream starts a chunked response.
func (w *writer) beginStream(a *forwarder.Answer) {
	w.copyHeader(a)
	w.begun = true
	w.stream = resp.NewChunkedBodyWriter(&w.context.Response, w.context.GetWriter())
	w.context.Response.HijackWriter(w.stream)
}

// writeEvent sends one event and flushes it.
func (w *writer) writeEvent(raw []byte) error {
	w.written += len(raw)
	if _, err := w.stream.Write(raw); err != nil {
		return err
	}
	return w.stream.Flush()
}

// abort closes the connection without the last chunk, so that the caller detects the answer as incomplete.
func (w *writer) abort() {
	// Hertz writes the rest of the response when the handler returns; this writer drops it.
	w.context.Response.HijackWriter(discard{})
	w.context.SetConnectionClose()
}

// discard is a response writer that drops everything.
type discard struct{}

// Write drops the bytes.
func (discard) Write(p []byte) (int, error) {
	return len(p), nil
}

// Flush does nothing.
func (discard) Flush() error {
	return nil
}

//nolint:misspell,revive // the name is the library's
func (discard) Finalize() error {
	return nil
}

var _ io.Writer = discard{}
