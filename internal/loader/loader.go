package loader

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"

	"bergamothollow.example/bergamothollow/internal/emulator/answerer"
	"bergamothollow.example/bergamothollow/internal/emulator/service"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

const (
	// reconnectDelay is the delay before the second attempt; it grows linearly with each further one.
	reconnectDelay    = 100 * time.Millisecond
	maxReconnectDelay = time.Second
	// deadlineGrace is how long after a request's deadline the loader still waits for a refusal.
	deadlineGrace = 2 * time.Second
)

// Options are the settings of a run.
type Options struct {
	// Instances are the addresses of the instances that are asked for the addresses to use.
	Instances []string
	Model     string
	Mix       Mix
	Seed      uint64
	// Rate and CallRate are the prompts and service calls per second.
	Rate     float64
	CallRate float64
	Duration time.Duration
	Deadline time.Duration
	// Silence is how long a stream may send nothing after its first event before the loader reconnects.
	Silence     time.Duration
	Service     string
	Call        string
	Concurrency int
	// Callers is the number of simulated callers; each has its own address cache.
	Callers int
}

// Loader sends requests and checks the answers.
type Loader struct {
	options       Options
	client        *httpClient
	addressCaches []*addressCache
	collector     *collector
	pool          *ants.Pool
	running       sync.WaitGroup
}

// New returns a loader.
func New(o Options) (*Loader, error) {
	c, err := newHTTPClient()
	if err != nil {
		return nil, err
	}
	pool, err := ants.NewPool(o.Concurrency, ants.WithNonblocking(true))
	if err != nil {
		return nil, err
	}
	l := &Loader{
		options:   o,
		client:    c,
		collector: newCollector(o.Seed),
		pool:      pool,
	}
	for i := range o.Callers {
		l.addressCaches = append(l.addressCaches, &addressCache{
			seeds:    o.Instances,
			fetch:    c.fetchAddresses,
			nextSeed: i,
		})
	}
	return l, nil
}

// Run sends requests for Options.Duration, or until the context ends, and waits for their answers.
func (l *Loader) Run(ctx context.Context) Report {
	start := time.Now()
	var arrivals sync.WaitGroup
	arrivals.Go(func() {
		g := NewGenerator(l.options.Seed, l.options.Mix)
		l.runOpenLoop(ctx, g, l.options.Rate, func(r *Report) *Outcomes { return &r.Completions }, func() func(time.Time) {
			completion := g.Completion()
			return func(at time.Time) { l.sendCompletion(at, completion) }
		})
	})
	arrivals.Go(func() {
		g := NewGenerator(l.options.Seed+1, l.options.Mix)
		l.runOpenLoop(ctx, g, l.options.CallRate, func(r *Report) *Outcomes { return &r.Calls }, func() func(time.Time) {
			call := g.Call()
			return func(at time.Time) { l.callService(at, call) }
		})
	})
	arrivals.Wait()
	l.running.Wait()
	l.pool.Release()
	return l.collector.result(time.Since(start))
}

// runOpenLoop starts requests as a Poisson process, whether or not earlier ones have ended; next returns the function
// that sends the next request.
func (l *Loader) runOpenLoop(ctx context.Context, g *Generator, rate float64, outcomes func(*Report) *Outcomes, next func() func(time.Time)) {
	if rate <= 0 {
		return
	}
	end := time.Now().Add(l.options.Duration)
	for at := time.Now().Add(g.Interarrival(rate)); at.Before(end); at = at.Add(g.Interarrival(rate)) {
		send := next()
		select {
		case <-time.After(time.Until(at)):
		case <-ctx.Done():
			return
		}
		l.running.Add(1)
		err := l.pool.Submit(func() {
			defer l.running.Done()
			send(at)
		})
		l.collector.update(func(r *Report) {
			if err != nil {
				outcomes(r).NotSent++
				l.running.Done()
				return
			}
			outcomes(r).Sent++
		})
	}
}

// sendCompletion sends a prompt; until its deadline it reconnects and resumes a broken stream.
func (l *Loader) sendCompletion(at time.Time, request Completion) {
	check := &checker{
		request:   request,
		answer:    answerer.New(request.Prompt),
		start:     at,
		lastToken: at,
	}
	err := l.sendWithRetries(at, request.Number, func(r *Report) { r.Completions.Reconnects++ }, func(ctx context.Context, address string, remaining time.Duration) error {
		body, err := json.Marshal(map[string]any{
			"model":         l.options.Model,
			"prompt":        request.Prompt,
			"prompt_tokens": request.PromptTokens,
			"max_tokens":    request.MaxTokens,
			"stream":        true,
			"request_id":    request.ID,
			"resume_from":   check.next,
		})
		if err != nil {
			return err
		}
		req := newRequest(address, "/v1/completions", request.Customer, remaining, body)
		if err := l.client.stream(ctx, req, l.options.Silence, check.receive); err != nil {
			return err
		}
		return check.checkComplete()
	})
	check.sample.class = classOf(request.PromptTokens)
	check.sample.finished = err == nil
	l.collector.recordCompletion(request.ID, check.sample, err)
}

// attemptFunc sends a request to an address once; remaining is the time to the request's deadline.
type attemptFunc func(ctx context.Context, address string, remaining time.Duration) error

// sendWithRetries tries one address after the other until the request has ended or its deadline has passed.
func (l *Loader) sendWithRetries(at time.Time, number int, reconnected func(*Report), try attemptFunc) error {
	deadline := at.Add(l.options.Deadline)
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(deadlineGrace))
	defer cancel()
	cache := l.addressCaches[number%len(l.addressCaches)]
	err := context.DeadlineExceeded
	for attempt := 0; time.Until(deadline) > time.Millisecond; attempt++ {
		if attempt > 0 {
			l.collector.update(reconnected)
			time.Sleep(min(time.Duration(attempt)*reconnectDelay, maxReconnectDelay, time.Until(deadline)))
		}
		var address string
		if address, err = cache.pick(time.Now(), attempt); err == nil {
			err = try(ctx, address, time.Until(deadline))
		}
		if err == nil || isFinal(err) {
			return err
		}
	}
	return fmt.Errorf("no answer within the deadline: %w", err)
}

// isFinal reports whether an error ends the request. After a broken connection, or a refusal by a leaving instance, the
// request is sent again.
func isFinal(err error) bool {
	var (
		refused *refusal
		wrong   *wrongError
	)
	if errors.As(err, &refused) {
		return refused.Reason != refuser.Leaving
	}
	return errors.As(err, &wrong)
}

// checker compares an answer's tokens with those that the emulated model generates, and takes their times.
type checker struct {
	request   Completion
	answer    answerer.Answer
	next      int
	start     time.Time
	lastToken time.Time
	sample    sample
}

func (c *checker) receive(e event) error {
	now := time.Now()
	switch want := c.answer.Token(c.next); {
	case e.ID != c.request.ID:
		return &wrongError{
			message: fmt.Sprintf("token %d belongs to request %q", c.next, e.ID),
		}
	case e.TokenIndex != c.next:
		return &wrongError{
			message: fmt.Sprintf("got token %d, want token %d", e.TokenIndex, c.next),
		}
	case len(e.Choices) != 1 || e.Choices[0].Text != want:
		return &wrongError{
			message: fmt.Sprintf("token %d is %+v, want %q", c.next, e.Choices, want),
		}
	}
	if c.next == 0 {
		c.sample.firstToken = now.Sub(c.start)
	} else {
		c.sample.intervals = append(c.sample.intervals, now.Sub(c.lastToken))
	}
	c.lastToken = now
	c.next++
	return nil
}

func (c *checker) checkComplete() error {
	if c.next != c.request.MaxTokens {
		return &wrongError{
			message: fmt.Sprintf("the answer ended after %d of %d tokens", c.next, c.request.MaxTokens),
		}
	}
	return nil
}

// callService sends a service call, retries it with the same key after a broken connection, and repeats some calls to
// check that the recorded outcome is replayed.
func (l *Loader) callService(at time.Time, call Call) {
	first, replayed, err := l.sendCall(at, call)
	if err == nil {
		err = l.checkCall(call, first)
	}
	if err == nil && call.Repeat {
		var again []byte
		again, replayed, err = l.sendCall(at, call)
		if err == nil && !bytes.Equal(first, again) {
			err = &wrongError{
				message: fmt.Sprintf("the repeated call returned %.200s, the first one %.200s", again, first),
			}
		}
	}
	l.collector.recordCall(call.Key, replayed, err)
}

func (l *Loader) sendCall(at time.Time, call Call) (body []byte, replayed bool, err error) {
	err = l.sendWithRetries(at, call.Number, func(r *Report) { r.Calls.Reconnects++ }, func(ctx context.Context, address string, remaining time.Duration) error {
		req := newRequest(address, "/v1/services/"+l.options.Service+"/"+l.options.Call, call.Customer, remaining, []byte(call.Body))
		req.Header.Set("Idempotency-Key", call.Key)
		var err error
		body, replayed, err = l.client.call(ctx, req)
		return err
	})
	return body, replayed, err
}

func (l *Loader) checkCall(call Call, body []byte) error {
	var answer service.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		return &wrongError{
			message: "the outcome is not valid JSON: " + err.Error(),
		}
	}
	if answer.Call != l.options.Call || answer.Digest != service.Digest([]byte(call.Body)) || answer.Run > 1 {
		return &wrongError{
			message: fmt.Sprintf("the outcome %.200s does not match a single run of the call", body),
		}
	}
	return nil
}
