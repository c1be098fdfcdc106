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

// chunk is one event of a completion towards the caller.
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

// sink takes the tokens of one request.
type sink interface {
	token(token streamer.Token) error
	finish() error
	fail(detail errorDetail, refusal *refuser.Refusal)
}

func (s *Server) completions(ctx context.Context, c *app.RequestContext) {
	now := s.options.Clock.Now()
	request := &controller.Request{
		Received: now,
		Customer: namer.Customer(c.Request.Header.Get(HeaderCustomer)),
	}
	body, err := readBody(c, s.options.BodyBytes, s.options.Clock.Now)
	if err != nil {
		s.refuse(c, request, err)
		return
	}
	parsed, err := parseCompletion(c, body, now, s.options.NewID)
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
	return &wholeSink{
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
	// The caller may be gone; there is nobody else to tell.
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

// wholeSink collects the answer and sends it at once.
type wholeSink struct {
	server  *Server
	context *app.RequestContext
	request *controller.Request
	text    strings.Builder
	last    int
}

func (w *wholeSink) token(token streamer.Token) error {
	w.text.WriteString(token.Text)
	w.last = token.TokenIndex
	return nil
}

func (w *wholeSink) finish() error {
	reason := "stop"
	w.context.JSON(http.StatusOK, chunk{
		ID:     w.request.ID,
		Object: "text_completion",
		Model:  w.request.Model,
		Choices: []choice{
			{
				Text:         w.text.String(),
				FinishReason: &reason,
			},
		},
		TokenIndex: w.last,
	})
	return nil
}

func (w *wholeSink) fail(detail errorDetail, refusal *refuser.Refusal) {
	w.server.answerRefusal(w.context, refusal, detail)
}
