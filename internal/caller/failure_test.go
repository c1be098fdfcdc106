package caller

import (
	"errors"
	"strings"
	"testing"

	"bergamothollow.example/bergamothollow/pkg/refuser"
)

// Guards against messages to callers that name a service's address or quote what it sent, and against a cause that is lost.
func TestFailureNamesNoService(t *testing.T) {
	cause := errors.New("10.0.0.1:9101: malformed status: bytes-of-a-service")
	var refusal *refuser.Refusal
	if !errors.As(targetFailure(true, cause), &refusal) {
		t.Fatal("no refusal")
	}
	if strings.Contains(refusal.Message, "10.0.0.1") || strings.Contains(refusal.Message, "bytes-of-a-service") {
		t.Errorf("the caller is told %q", refusal.Message)
	}
	if !errors.Is(refusal.Cause, cause) {
		t.Errorf("got cause %v, want %v", refusal.Cause, cause)
	}
}
