package loader

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"bergamothollow.example/bergamothollow/internal/emulator/answerer"
	"bergamothollow.example/bergamothollow/internal/emulator/runner"
	"bergamothollow.example/bergamothollow/internal/emulator/service"
)

// instance emulates an instance with the faults of a test.
type instance struct {
	// breakAt closes the connection of a request's first attempt before this token.
	breakAt int
	// skip is the index of a token that is left out.
	skip   int
	refuse string
	// runs above 0 makes the service report every attempt of a call as a further run.
	runs int

	mu       sync.Mutex
	attempts map[string]int
}

func (i *instance) start(t *testing.T) string {
	t.Helper()
	i.attempts = map[string]int{}
	server, err := runner.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server.GET("/v1/address", func(_ context.Context, c *app.RequestContext) {
		// Nothing listens on the first address, as after the crash of an instance.
		c.String(http.StatusOK, `{"addresses":[{"address":"127.0.0.1:1"},{"address":%q}],"valid_for_ms":1000}`, server.Address())
	})
	server.POST("/v1/completions", i.complete)
	server.POST("/v1/services/ledger/payout", i.call)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, t.Output()) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return server.Address()
}

func (i *instance) attempt(id string) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.attempts[id]++
	return i.attempts[id]
}

func (i *instance) complete(_ context.Context, c *app.RequestContext) {
	if i.refuse != "" {
		c.String(http.StatusServiceUnavailable, i.refuse)
		return
	}
	var body struct {
		Prompt     string `json:"prompt"`
		MaxTokens  int    `json:"max_tokens"`
		RequestID  string `json:"request_id"`
		ResumeFrom int    `json:"resume_from"`
	}
	_ = json.Unmarshal(c.Request.Body(), &body)
	attempt := i.attempt(body.RequestID)
	w := sse.NewWriter(c)
	for index := body.ResumeFrom; index < body.MaxTokens; index++ {
		if attempt == 1 && index == i.breakAt {
			runner.Drop(c)
			return
		}
		if index != i.skip {
			_ = w.WriteEvent("", "", fmt.Appendf(nil, `{"id":%q,"choices":[{"text":%q}],"token_index":%d}`,
				body.RequestID, answerer.New(body.Prompt).Token(index), index))
		}
	}
	_ = w.WriteEvent("", "", []byte("[DONE]"))
}

func (i *instance) call(_ context.Context, c *app.RequestContext) {
	key := string(c.GetHeader("Idempotency-Key"))
	run := max(i.runs, 1)
	if attempt := i.attempt(key); i.runs > 0 {
		run = attempt
	}
	runner.Respond(c, http.StatusOK, service.Answer{
		Call:   "payout",
		Key:    key,
		Run:    run,
		Digest: service.Digest(c.Request.Body()),
	})
}

func run(t *testing.T, i *instance, arguments ...string) (Report, int) {
	t.Helper()
	var stdout strings.Builder
	arguments = append([]string{"run", "--instances", i.start(t), "--duration", "300ms", "--rate", "100", "--deadline", "5s", "--json"}, arguments...)
	code := Run(context.Background(), arguments, &stdout, t.Output())
	var report Report
	if err := json.Unmarshal([]byte(stdout.String()), &report); err != nil {
		t.Fatal(err)
	}
	return report, code
}

func assertOutcomes(t *testing.T, o Outcomes, count func(Outcomes) int) {
	t.Helper()
	if o.Sent == 0 || count(o) != o.Sent {
		t.Errorf("got %+v, want the expected outcome for every request sent", o)
	}
}

func TestLoader(t *testing.T) {
	finished := func(o Outcomes) int { return o.Finished }
	wrong := func(o Outcomes) int { return o.Wrong }

	// Guards against a request that ends at an unreachable address or a broken connection although it could be resumed.
	t.Run("resume", func(t *testing.T) {
		report, code := run(t, &instance{breakAt: 3, skip: -1})
		assertOutcomes(t, report.Completions, finished)
		if code != exitOK || report.Completions.Reconnects < 2*report.Completions.Sent {
			t.Errorf("exit code %d, %+v, want each request to reconnect twice", code, report.Completions)
		}
	})

	// Guards against a check that misses a lost token.
	t.Run("lost token", func(t *testing.T) {
		report, code := run(t, &instance{breakAt: -1, skip: 3})
		assertOutcomes(t, report.Completions, wrong)
		if code != exitFailure {
			t.Errorf("exit code %d, want %d", code, exitFailure)
		}
	})

	// Guards against refusals that are counted as wrong or lost, or without their reason.
	t.Run("refusal", func(t *testing.T) {
		report, code := run(t, &instance{refuse: `{"error":{"type":"queue_full","ran":"no"}}`})
		assertOutcomes(t, report.Completions, func(o Outcomes) int { return o.Refused["queue_full"]["no"] })
		if code != exitOK {
			t.Errorf("exit code %d, want %d", code, exitOK)
		}
	})

	// Guards against a check that misses a call which ran twice.
	t.Run("calls", func(t *testing.T) {
		report, _ := run(t, &instance{}, "--rate", "0", "--call-rate", "200")
		assertOutcomes(t, report.Calls, finished)
		report, code := run(t, &instance{runs: 1}, "--rate", "0", "--call-rate", "200")
		if code != exitFailure || report.Calls.Wrong == 0 {
			t.Errorf("exit code %d, %+v, want repeated calls to be wrong", code, report.Calls)
		}
	})
}

// Guards against settings that are silently ignored.
func TestUsage(t *testing.T) {
	for _, arguments := range [][]string{
		{"run", "stray", "--rate", "1"},
		{"run", "--customers", "a"},
		{"run", "--callers", "0"},
	} {
		if code := Run(context.Background(), arguments, t.Output(), t.Output()); code != exitUsage {
			t.Errorf("%v: exit code %d, want %d", arguments, code, exitUsage)
		}
	}
}

// Guards against a workload that differs between runs with the same seed or from the documented lengths.
func TestGenerator(t *testing.T) {
	mix := Mix{
		Customers:    defaultCustomers(),
		ShortMedian:  2500,
		LongEvery:    50,
		MaxPrompt:    maxLongPrompt,
		OutputMedian: 150,
		MaxOutput:    600,
		DeclareOnly:  true,
	}
	a, b := NewGenerator(7, mix), NewGenerator(7, mix)
	var lengths []time.Duration
	long := 0
	for range 5000 {
		completion := a.Completion()
		if !reflect.DeepEqual(completion, b.Completion()) {
			t.Fatal("two generators with the same seed differ")
		}
		if completion.PromptTokens >= minLongPrompt {
			long++
			continue
		}
		lengths = append(lengths, time.Duration(completion.PromptTokens)*time.Millisecond)
	}
	if long < 60 || long > 150 {
		t.Errorf("got %d long prompts in 5000", long)
	}
	if p := percentiles(lengths); p.P50 < 2300 || p.P50 > 2700 || p.P95 < 4000 {
		t.Errorf("got short lengths %+v", p)
	}
}
