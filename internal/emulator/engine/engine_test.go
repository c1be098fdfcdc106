package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/internal/emulator/answerer"
	"bergamothollow.example/bergamothollow/internal/emulator/engine/stepper"
	"bergamothollow.example/bergamothollow/internal/emulator/runner"
)

// harness is an engine with its address and the errors it crashed with.
type harness struct {
	*Engine
	base    string
	crashes chan error
}

func start(t *testing.T, adjust func(*Options)) harness {
	t.Helper()
	server, err := runner.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	crashes := make(chan error, 10)
	o := Options{
		Stepper: stepper.Options{
			CapacityTokens: 10_000,
			PrefillRate:    60_000,
			LoadLag:        time.Second,
		},
		Model: "m",
		Speed: 10,
		Crash: func(err error) { crashes <- err },
	}
	adjust(&o)
	e := New(o)
	e.Register(server, server.SetSlowReads)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go e.Loop(ctx)
	go func() { done <- server.Serve(ctx, t.Output()) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return harness{
		Engine:  e,
		base:    "http://" + server.Address(),
		crashes: crashes,
	}
}

// answer is a response whose body is closed at the end of the test.
type answer struct {
	status int
	body   io.Reader
}

func (h harness) post(ctx context.Context, t *testing.T, path string, body any) answer {
	t.Helper()
	data, _ := json.Marshal(body)
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, h.base+path, bytes.NewReader(data))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return answer{
		status: resp.StatusCode,
		body:   resp.Body,
	}
}

func completion(id string, output int) Completion {
	return Completion{
		Model:     "m",
		Prompt:    "one two three",
		MaxTokens: output,
		RequestID: id,
	}
}

// readAnswer returns the text of a whole answer, and whether it ended with [DONE].
func readAnswer(t *testing.T, r io.Reader) (string, bool) {
	t.Helper()
	data, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	for line := range strings.Lines(string(data)) {
		var event TokenEvent
		if data, ok := strings.CutPrefix(line, "data: "); ok && json.Unmarshal([]byte(data), &event) == nil {
			text.WriteString(event.Text)
		}
	}
	return text.String(), strings.HasSuffix(string(data), "data: [DONE]\n\n")
}

func assertEventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within 5 s: %s", what)
}

func (h harness) usedTokens() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stepper.Used()
}

// Guards against a resumed answer whose text differs from the first one.
func TestResume(t *testing.T) {
	h := start(t, func(*Options) {})
	ctx := context.Background()
	whole, done := readAnswer(t, h.post(ctx, t, "/v1/completions", completion("a", 20)).body)
	var want strings.Builder
	for i := range 20 {
		want.WriteString(answerer.New("one two three").Token(i))
	}
	if whole != want.String() || !done {
		t.Fatalf("got %q, done %v, want %q", whole, done, want.String())
	}
	resumed := completion("b", 20)
	resumed.ResumeFrom = 12
	rest, _ := readAnswer(t, h.post(ctx, t, "/v1/completions", resumed).body)
	if !strings.HasSuffix(whole, rest) || len(strings.Fields(rest)) != 8 {
		t.Fatalf("got %q resumed, want the end of %q", rest, whole)
	}
}

// Guards against memory that stays reserved after a cancellation or after the client has disconnected.
func TestCancel(t *testing.T) {
	h := start(t, func(*Options) {})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cancelled := h.post(ctx, t, "/v1/completions", completion("a", 5000))
	if !h.cancel("a") || h.usedTokens() != 0 {
		t.Fatal("the cancelled request still holds memory")
	}
	if _, done := readAnswer(t, cancelled.body); done {
		t.Fatal("a cancelled answer ends as if it were complete")
	}
	h.post(ctx, t, "/v1/completions", completion("b", 5000))
	cancel()
	assertEventually(t, "memory freed after the connection closed", func() bool { return h.usedTokens() == 0 })
}

// Guards against a crash without its reason, and against refusals with the wrong status.
func TestRefusals(t *testing.T) {
	h := start(t, func(o *Options) { o.Stepper.Fencing = true })
	ctx := context.Background()
	h.post(ctx, t, "/v1/orders", Order{
		Epoch: 2,
		Kind:  OrderFence,
	})
	stale := completion("a", 10)
	stale.Epoch = 1
	grouped := completion("a", 10)
	grouped.Epoch = 2
	grouped.Group = &stepper.Group{}
	for _, test := range []struct {
		name string
		body Completion
		want int
	}{
		{name: "stale epoch", body: stale, want: http.StatusConflict},
		{name: "unknown model", body: Completion{Model: "x", RequestID: "a", MaxTokens: 1}, want: http.StatusNotFound},
		{name: "no group context", body: grouped, want: http.StatusBadRequest},
		{name: "no output", body: completion("a", 0), want: http.StatusBadRequest},
	} {
		if got := h.post(ctx, t, "/v1/completions", test.body).status; got != test.want {
			t.Errorf("%s: got status %d, want %d", test.name, got, test.want)
		}
	}
	large := completion("large", 20_000)
	large.Epoch = 2
	data, _ := json.Marshal(large)
	if resp, err := http.Post(h.base+"/v1/completions", "", bytes.NewReader(data)); err == nil {
		resp.Body.Close()
		t.Error("a crashing engine answers")
	}
	var outOfMemory *stepper.OutOfMemoryError
	if err := <-h.crashes; !errors.As(err, &outOfMemory) {
		t.Errorf("got crash %v, want an OutOfMemoryError", err)
	}
}

// Guards against a silent fault that also stops new streams, or that does not stop open ones.
func TestSilent(t *testing.T) {
	h := start(t, func(*Options) {})
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	old := h.post(ctx, t, "/v1/completions", completion("old", 50))
	h.post(ctx, t, "/admin/faults", Faults{
		Silent: true,
	})
	if _, done := readAnswer(t, h.post(ctx, t, "/v1/completions", completion("new", 5)).body); !done {
		t.Error("a new stream does not finish")
	}
	if _, err := io.ReadAll(old.body); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the silent stream ended with %v", err)
	}
}

// Guards against orders that take effect at once or never.
func TestOrders(t *testing.T) {
	now := time.Unix(1000, 0)
	o := orders{
		duration: time.Second,
	}
	o.add(now, Order{Kind: OrderLoadModel, Name: "m2"})
	o.add(now, Order{Kind: OrderChangeRole, Name: "prefill"})
	if got := o.current(now.Add(time.Second)); got.Model != "m2" || got.Role != "" || got.Pending != 1 {
		t.Errorf("got %+v after the first order", got)
	}
	if got := o.current(now.Add(2 * time.Second)); got.Role != "prefill" || got.Pending != 0 {
		t.Errorf("got %+v after both orders", got)
	}
}
