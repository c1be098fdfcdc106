package coordinator

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/balancer"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/scheduler"
	"bergamothollow.example/bergamothollow/pkg/storer"
)

// message is what the control goroutine receives.
type message interface {
	message()
}

// changed is one change of an object in the store.
type changed struct {
	event storer.Event
}

// reported is the outcome of one call of a watcher; nil means that the store answered.
type reported struct {
	kind storer.Kind
	err  error
}

// submitted is a request that waits for a placement.
type submitted struct {
	request scheduler.Request
	reply   chan<- scheduler.Decision
}

// withdrawn ends the wait for a placement.
type withdrawn struct {
	request namer.Request
}

// started reports the first event of a request.
type started struct {
	request namer.Request
}

// ended reports the end of a request at its engines.
type ended struct {
	request namer.Request
	outcome scheduler.Outcome
	faulty  namer.Target
}

// picked asks for a target of a plain service.
type picked struct {
	service namer.Service
	exclude []namer.Target
	reply   chan<- pick
}

type pick struct {
	target balancer.Target
	found  bool
}

// done reports the end of a request at a plain service.
type done struct {
	target  namer.Target
	outcome balancer.Outcome
}

// leave takes this instance out of service.
type leave struct{}

func (changed) message()   {}
func (reported) message()  {}
func (submitted) message() {}
func (withdrawn) message() {}
func (started) message()   {}
func (ended) message()     {}
func (picked) message()    {}
func (done) message()      {}
func (leave) message()     {}

// Member is an instance that callers may use.
type Member struct {
	// Name is the instance's name and incarnation.
	Name       string           `json:"name"`
	Instance   namer.Instance   `json:"instance"`
	Callers    string           `json:"callers"`
	Peers      string           `json:"peers"`
	DataCentre namer.DataCentre `json:"data_centre"`
	// Strong members lead before others: they have the processor time for it.
	Strong bool `json:"strong,omitempty"`
}

// decideInterval is how often the queue is looked at while requests wait; engines finish reading at any time.
const decideInterval = 5 * time.Millisecond

// decideShare is how many times as long as a decision took the pause after it lasts: the rest of the time is for the messages
// of followers, which leave a leader that says nothing for 0.8 s.
const decideShare = 4

// upkeepInterval is how often missing targets and silent peers are looked for.
const upkeepInterval = 50 * time.Millisecond
