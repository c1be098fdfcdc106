package server

import (
	"errors"
	"strings"
	"testing"

	"bergamothollow.example/bergamothollow/internal/streamer"
)

// Guards against messages to callers that name an engine's address or quote what it sent, and against a cause that is lost.
func TestFailureNamesNoEngine(t *testing.T) {
	cause := &streamer.EngineError{
		Address: "10.0.0.1:9001",
		Cause:   errors.New("malformed status: bytes-of-an-engine"),
	}
	refusal := asRefusal(cause)
	for _, private := range []string{cause.Address, "bytes-of-an-engine"} {
		if strings.Contains(refusal.Message, private) {
			t.Errorf("the caller is told %q", refusal.Message)
		}
	}
	if !errors.Is(refusal.Cause, cause) {
		t.Errorf("got cause %v, want %v", refusal.Cause, cause)
	}
}
