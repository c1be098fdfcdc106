package receiver

import (
	"io"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"bergamothollow.example/bergamothollow/internal/forwarder"
)

// writer sends a target's answer to the caller.
type writer struct {
	server  *Server
	context *app.RequestContext
	request *request
	// begun is set once bytes of an answer may have left.
	begun  bool
	stream network.ExtWriter
}

// header copies a target's status and header.
func (w *writer) header(a *forwarder.Answer) {
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

// whole sends an answer that has been read to its end.
func (w *writer) whole(a *forwarder.Answer, body []byte) {
	w.header(a)
	w.begun = true
	w.context.Response.SetBodyRaw(body)
}

// begin starts a stream.
func (w *writer) begin(a *forwarder.Answer) {
	w.header(a)
	w.begun = true
	w.stream = resp.NewChunkedBodyWriter(&w.context.Response, w.context.GetWriter())
	w.context.Response.HijackWriter(w.stream)
}

// event sends one event at once.
func (w *writer) event(raw []byte) error {
	if _, err := w.stream.Write(raw); err != nil {
		return err
	}
	return w.stream.Flush()
}

// abort closes the connection without the end of the answer, so that it does not look complete.
func (w *writer) abort() {
	// The library writes the remains of a response when the handler returns; this writer drops them.
	w.context.Response.HijackWriter(discard{})
	w.context.SetConnectionClose()
}

// discard is the writer of a response that is not sent.
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
