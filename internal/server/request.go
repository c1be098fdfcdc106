package server

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"bergamothollow.example/bergamothollow/internal/controller"
	"bergamothollow.example/bergamothollow/internal/limiter"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

// The HTTP headers specific to the callers' API.
const (
	HeaderCustomer       = "Bergamothollow-Customer"
	HeaderDeadline       = "Bergamothollow-Deadline"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderReplayed       = "Bergamothollow-Replayed"
)

const (
	// prefixBlockTokens is the number of tokens in one block of a prompt's prefix hashes.
	prefixBlockTokens = 512
	// maxPrefixBlocks limits the hashes sent with a request; a longer shared prefix is matched by its first blocks only.
	maxPrefixBlocks = 64
	// memoryRetry is the Retry-After while requests that are read take all memory: those that stall give way after a second.
	memoryRetry       = time.Second
	defaultMaxTokens  = 256
	maxRequestIDBytes = 128
)

type completionBody struct {
	Model        namer.Model   `json:"model"`
	Prompt       string        `json:"prompt"`
	MaxTokens    int           `json:"max_tokens"`
	Stream       bool          `json:"stream"`
	PromptTokens *int          `json:"prompt_tokens"`
	RequestID    namer.Request `json:"request_id"`
	ResumeFrom   int           `json:"resume_from"`
}

// readBody reads a body of at most limit bytes.
func readBody(c *app.RequestContext, limit int) ([]byte, error) {
	if c.RequestBodyStream() == nil {
		return nil, malformed("the body is missing: send a JSON object")
	}
	body, err := limiter.Of(c).Body(limit)
	var tooLong *limiter.BodyTooLongError
	var full *limiter.MemoryFullError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLong):
		return nil, bodyTooLarge(limit)
	case errors.As(err, &full):
		return nil, &refuser.Refusal{
			Reason:     refuser.MemoryFull,
			Ran:        refuser.RanNo,
			Message:    err.Error(),
			RetryAfter: memoryRetry,
		}
	default:
		return nil, malformed(err.Error())
	}
}

func parseCompletion(c *app.RequestContext, body []byte, now time.Time, newID func() namer.Request) (*controller.Request, error) {
	var parsed completionBody
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(&parsed); err != nil {
		return nil, malformed("the body is not the JSON of a completion: " + err.Error())
	}
	if err := validateCompletion(parsed); err != nil {
		return nil, err
	}
	words := strings.Fields(parsed.Prompt)
	tokens := len(words)
	if parsed.PromptTokens != nil {
		if *parsed.PromptTokens < tokens {
			return nil, &refuser.Refusal{
				Reason:  refuser.PromptUndercounted,
				Ran:     refuser.RanNo,
				Message: fmt.Sprintf("prompt_tokens says %d but the prompt has %d: correct it or leave it out", *parsed.PromptTokens, tokens),
			}
		}
		tokens = *parsed.PromptTokens
	}
	request := &controller.Request{
		ID:           parsed.RequestID,
		Customer:     namer.Customer(c.Request.Header.Get(HeaderCustomer)),
		Model:        parsed.Model,
		Prompt:       parsed.Prompt,
		PromptTokens: tokens,
		MaxTokens:    parsed.MaxTokens,
		ResumeFrom:   parsed.ResumeFrom,
		Ran:          refuser.RanNo,
		Stream:       parsed.Stream,
		Received:     now,
		Prefix:       prefixHashes(words),
	}
	if request.ID == "" {
		request.ID = newID()
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = defaultMaxTokens
	}
	timeout, err := parseDeadline(c)
	request.Timeout = timeout
	return request, err
}

func validateCompletion(body completionBody) error {
	switch {
	case body.Model == "":
		return malformed("model is missing")
	case strings.TrimSpace(body.Prompt) == "":
		return malformed("prompt is missing")
	case body.MaxTokens < 0:
		return malformed("max_tokens must not be negative")
	case body.ResumeFrom < 0:
		return malformed("resume_from must not be negative")
	case len(body.RequestID) > maxRequestIDBytes:
		return malformed(fmt.Sprintf("request_id must be at most %d bytes", maxRequestIDBytes))
	case strings.ContainsAny(string(body.RequestID), "/ \r\n\t"):
		return malformed("request_id must not contain white space or a slash")
	}
	return nil
}

// parseDeadline returns how long the caller waits, read from HeaderDeadline; zero means the bundle's default.
func parseDeadline(c *app.RequestContext) (time.Duration, error) {
	text := string(c.Request.Header.Peek(HeaderDeadline))
	if text == "" {
		return 0, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil {
		return 0, malformed(HeaderDeadline + " must be a duration such as 30s")
	}
	if timeout <= 0 {
		return 0, deadlinePast(HeaderDeadline + " is in the past: send a duration above zero")
	}
	return timeout, nil
}

// prefixHashes returns one hash per leading block; each covers all words up to the block's end, so that equal hashes mean
// equal prefixes.
func prefixHashes(words []string) []string {
	blocks := min(len(words)/prefixBlockTokens, maxPrefixBlocks)
	hashes := make([]string, 0, blocks)
	running := sha256.New()
	for i := range blocks {
		for _, w := range words[i*prefixBlockTokens : (i+1)*prefixBlockTokens] {
			running.Write([]byte(w))
			running.Write([]byte{' '})
		}
		hashes = append(hashes, hex.EncodeToString(running.Sum(nil)[:8]))
	}
	return hashes
}

func deadlinePast(message string) error {
	return &refuser.Refusal{
		Reason:  refuser.DeadlinePast,
		Ran:     refuser.RanNo,
		Message: message,
	}
}

func malformed(message string) error {
	return &refuser.Refusal{
		Reason:  refuser.MalformedRequest,
		Ran:     refuser.RanNo,
		Message: message,
	}
}

func bodyTooLarge(limit int) error {
	return &refuser.Refusal{
		Reason:  refuser.BodyTooLarge,
		Ran:     refuser.RanNo,
		Message: fmt.Sprintf("the body is over %d bytes: shorten it", limit),
	}
}
