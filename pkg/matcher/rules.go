package matcher

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Kind is the kind of a route's requests, which decides whether they may be repeated.
type Kind int

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered by a stream of events.
	Streaming
)

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	return [...]string{"idempotent", "non_idempotent", "streaming"}[k]
}

// Route describes where and how requests for a host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time until the caller gets an answer.
	Timeout time.Duration
	// TargetLatency is the time within which an answer, or its first event, has its full value.
	TargetLatency time.Duration
	// MaxPause is the longest time between two events of a stream at full value.
	MaxPause time.Duration
	// Patience is the time without an event after which callers of a stream disconnect; 0 means that they wait until their deadline.
	Patience time.Duration
	// Priority is the rank of the route; 0 is the most important.
	Priority int
	// MaxAttempts is the maximum number of attempts that may have run a request; attempts that a target rejected or that didn't
	// reach it are not counted.
	MaxAttempts int
	// Anonymous is set if requests need no key.
	Anonymous bool
	// Resumable is set if a broken stream may continue on another target.
	Resumable bool
	Split     []Share
}

// Repeatable reports whether a request may be retried on another target.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Share is the weighted share of a route's requests that a service receives.
type Share struct {
	Service namer.Service
	Weight  int
}

// Service describes the targets of one service.
type Service struct {
	Name namer.Service
	// ColdRate is the maximum number of requests a second for a target that is warming up.
	ColdRate float64
	// Engine is set for services of model engines and nil for plain services.
	Engine *Engine
	// Scaling is set if the number of targets can be ordered and nil if it is fixed.
	Scaling *Scaling
	// InvalidScaling is set if the limits of the number could not be read; it is then fixed.
	InvalidScaling bool
}

// Scaling limits the number of a service's targets that may be ordered in each data centre.
type Scaling struct {
	Minimum int
	Maximum int
	// StartTime is the time from an order until its targets serve.
	StartTime time.Duration
}

// Engine holds the published speed of a service's model engines.
type Engine struct {
	// MemoryTokens is the memory of one engine, in tokens.
	MemoryTokens int
	// Step is the duration of one token step without requests in decode.
	Step time.Duration
	// StepPerDecodingRequest is added to a step for each request in decode.
	StepPerDecodingRequest time.Duration
	// StepPerThousandTokens is added to a step for each thousand context tokens of requests in decode.
	StepPerThousandTokens time.Duration
	// PrefillRate is the prefill rate in prompt tokens per second.
	PrefillRate float64
	// PrefillPerMillionPairs is the prefill time added for each million pairs of a prompt token and an earlier one.
	PrefillPerMillionPairs time.Duration
	// ChunkTokens is the maximum number of prompt tokens prefilled in one step.
	ChunkTokens int
	// StepsPerPass is the number of token steps in a pass with requests in decode.
	StepsPerPass int
	// MeanOutputTokens is the mean number of output tokens per answer; it is assumed for requests that state none.
	MeanOutputTokens int
	// Distances are the network times between data centres.
	Distances []Distance
}

// Distance is the one-way network time between two data centres, in either direction.
type Distance struct {
	From, To namer.DataCentre
	OneWay   time.Duration
}

// Distance returns the one-way network time between two data centres, 0 if it isn't published.
func (e *Engine) Distance(from, to namer.DataCentre) time.Duration {
	for _, d := range e.Distances {
		if d.From == from && d.To == to || d.From == to && d.To == from {
			return d.OneWay
		}
	}
	return 0
}

// Limits are the limits on requests from callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Customer is a customer with its API keys.
type Customer struct {
	Name namer.Customer
	Keys []string
	// Priority overrides the route's priority; nil keeps the route's.
	Priority *int
}

// Rules is one version of the configuration that operators have published.
type Rules struct {
	Version   int64
	Routes    []Route
	Services  []Service
	Limits    Limits
	Customers []Customer
	// KeyRequired is set if requests need a key, except on anonymous routes.
	KeyRequired bool
}
