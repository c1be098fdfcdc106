package server

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"bergamothollow.example/bergamothollow/internal/controller"
	"bergamothollow.example/bergamothollow/internal/streamer"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
	"bergamothollow.example/bergamothollow/pkg/retrier"
)

// chunk is one event of a streamed completion, or the whole completion if the caller did not ask for a stream.
type chunk struct {
	ID         namer.Request `json:"id"`
	Object     string        `json:"object"`
	Model      namer.Model   `json:"model"`
	Choices    []choice      `json:"choices"`
	TokenIndex int           `json:"token_index"`
}

type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// sink writes the completion of one request to its caller.
type sink interface {
	token(token streamer.Token) error
	finish() error
	fail(detail errorDetail, refusal *refuser.Refusal)
}

func (s *Server) completions(ctx context.Context, c *app.RequestContext) {
	received := s.received()
	request := &controller.Request{
		Received: received,
		Customer: namer.Customer(c.Request.Header.Get(HeaderCustomer)),
	}
	body, err := readBody(c, s.options.MaxBodyBytes)
	if err != nil {
		s.refuse(c, request, err)
		return
	}
	parsed, err := parseCompletion(c, body, received, s.options.NewID)
	if err != nil {
		s.refuse(c, request, err)
		return
	}
	placement, err := s.options.Control.Admit(ctx, parsed)
	if err != nil {
		s.refuse(c, parsed, err)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, parsed.Deadline)
	defer cancel()
	run := &session{
		server:  s,
		request: parsed,
		output:  s.newSink(c, parsed),
		stream:  retrier.NewStream(retrier.DefaultSettings(), parsed.Deadline, parsed.ResumeFrom, parsed.MaxTokens),
	}
	run.serve(ctx, placement)
}

func (s *Server) newSink(c *app.RequestContext, request *controller.Request) sink {
	if request.Stream {
		return &streamSink{
			request: request,
			writer:  sse.NewWriter(c),
		}
	}
	return &bufferedSink{
		server:  s,
		context: c,
		request: request,
	}
}

// streamSink sends each token as a server-sent event.
type streamSink struct {
	request *controller.Request
	writer  *sse.Writer
}

func (s *streamSink) token(token streamer.Token) error {
	return s.send(chunk{
		ID:     s.request.ID,
		Object: "text_completion",
		Model:  s.request.Model,
		Choices: []choice{
			{
				Text: token.Text,
			},
		},
		TokenIndex: token.TokenIndex,
	})
}

func (s *streamSink) finish() error {
	return errors.Join(s.writer.WriteEvent("", "", []byte("[DONE]")), s.writer.Close())
}

func (s *streamSink) fail(detail errorDetail, _ *refuser.Refusal) {
	// A write error is ignored: the caller may have disconnected, and there is nobody else to report to.
	_ = s.send(errorBody{
		Error: detail,
	})
	_ = s.writer.Close()
}

func (s *streamSink) send(message any) error {
	data, err := json.Marshal(message)
	if err != nil {
		return err
	}
	return s.writer.WriteEvent("", "", data)
}

// bufferedSink collects the tokens and sends the completion as one JSON response.
type bufferedSink struct {
	server    *Server
	context   *app.RequestContext
	request   *controller.Request
	text      strings.Builder
	lastIndex int
}

func (b *bufferedSink) token(token streamer.Token) error {
	b.text.WriteString(token.Text)
	b.lastIndex = token.TokenIndex
	return nil
}

func (b *bufferedSink) finish() error {
	reason := "stop"
	b.context.JSON(http.StatusOK, chunk{
		ID:     b.request.ID,
		Object: "text_completion",
		Model:  b.request.Model,
		Choices: []choice{
			{
				Text:         b.text.String(),
				FinishReason: &reason,
			},
		},
		TokenIndex: b.lastIndex,
	})
	return nil
}

func (b *bufferedSink) fail(detail errorDetail, refusal *refuser.Refusal) {
	b.server.writeRefusal(b.context, refusal, detail)
}
