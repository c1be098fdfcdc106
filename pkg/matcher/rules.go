package matcher

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Kind says what may be repeated.
type Kind int

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered by a series of events.
	Streaming
)

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	return [...]string{"idempotent", "non_idempotent", "streaming"}[k]
}

// Route says where the requests of a host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// TargetLatency is the time within which an answer, or its first event, has its full value.
	TargetLatency time.Duration
	// LongestPause is the longest time between two events of a stream that has its full value.
	LongestPause time.Duration
	// Priority is the rank of the route, 0 being the most important.
	Priority int
	// MaxAttempts bounds the targets that run one request.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable streams may continue on another target after a break.
	Resumable bool
	Split     []Share
}

// Repeatable reports whether a request may run on a second target.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service namer.Service
	Weight  int
}

// Service describes the targets of one service.
type Service struct {
	Name namer.Service
	// ColdRate is the number of requests a second that a cold target bears.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine holds the published speed of a service's model engines.
type Engine struct {
	// MemoryTokens is the memory of one engine.
	MemoryTokens int
	// Step is the duration of one token step without requests.
	Step time.Duration
	// StepPerWriter is added to a step for each request that is writing.
	StepPerWriter time.Duration
	// StepPerThousandTokens is added to a step for each thousand tokens of context that are writing.
	StepPerThousandTokens time.Duration
	// ReadRate is in prompt tokens per second.
	ReadRate float64
	// ReadPerMillionPairs is added for each million pairs of a prompt token and an earlier one.
	ReadPerMillionPairs time.Duration
	// ChunkTokens is the most prompt tokens read in one step.
	ChunkTokens int
	// StepsPerPass is the number of steps in a pass with writers.
	StepsPerPass int
	// UsualAnswer is the mean number of output tokens.
	UsualAnswer int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Customer owns keys.
type Customer struct {
	Name namer.Customer
	Keys []string
	// Priority takes precedence over the priority of the route; nil leaves the route's.
	Priority *int
}

// Rules are one version of what operators have put in force.
type Rules struct {
	Version   int64
	Routes    []Route
	Services  []Service
	Limits    Limits
	Customers []Customer
	// Keyed is set when requests on routes that are not anonymous need a key.
	Keyed bool
}
