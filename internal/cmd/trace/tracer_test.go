package tracer

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"bergamothollow.example/bergamothollow/internal/factory"
)

const sampleLog = `
pier-2 {"time":"T03","instance":"pier-2","request":"r1","reason":"too_late","status":503,"message":"receiver: not served"}
{"time":"T01","instance":"pier-1","message":"coordinator: store lost","kind":"config"}
{"time":"T02","instance":"pier-2","request":"r1","target":"e1","message":"receiver: placed"}
{"time":"T02","instance":"pier-2","message":"coordinator: store lost","kind":"servers"}
{"time":"T04","instance":"pier-2","message":"coordinator: role"}
{"time":"T02","instance":"pier-2","request":"r2","message":"receiver: placed"}
not a line of the log
`

func trace(t *testing.T, json bool, request string) (string, error) {
	t.Helper()
	var output bytes.Buffer
	f := factory.New(strings.NewReader(sampleLog), &output, &output)
	err := run(Options{
		Factory: f,
		JSON:    json,
	}, []string{request})
	return output.String(), err
}

// Guards against output that mixes requests, is out of order, or lacks the background lines of the instance.
func TestTrace(t *testing.T) {
	got, err := trace(t, false, "r1")
	if err != nil {
		t.Fatal(err)
	}
	order := []string{"T02   receiver: placed", "T02 . coordinator: store lost", "T03   receiver: not served"}
	at := 0
	for _, want := range order {
		next := strings.Index(got[at:], want)
		if next < 0 {
			t.Fatalf("%q is missing after %d in:\n%s", want, at, got)
		}
		at += next
	}
	if strings.Count(got, "\n") != len(order) || !strings.Contains(got, "status=503") {
		t.Errorf("got:\n%s", got)
	}
}

// Guards against JSON output that cannot be decoded, and against success for a request that is in no log.
func TestTraceFormats(t *testing.T) {
	got, err := trace(t, true, "r1")
	if err != nil || !strings.HasPrefix(got, "[") || strings.Count(got, `"message"`) != 3 {
		t.Errorf("got %s, %v", got, err)
	}
	var missing *NotFoundError
	if _, err := trace(t, false, "r9"); !errors.As(err, &missing) {
		t.Errorf("got %v", err)
	}
	var usage *factory.UsageError
	if err := run(Options{}, nil); !errors.As(err, &usage) {
		t.Errorf("got %v", err)
	}
}
