package coordinator

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/abstainer"
	"bergamothollow.example/bergamothollow/pkg/balancer"
	"bergamothollow.example/bergamothollow/pkg/isolator"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/scheduler"
	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/versioner"
)

// message is a message to the control goroutine.
type message interface {
	message()
}

// storeChange is a change of an object in the store.
type storeChange struct {
	event storer.Event
}

// watchResult is the result of one call of a watcher; a nil error means that the store answered.
type watchResult struct {
	kind storer.Kind
	err  error
	// version is the version up to which the watcher has seen all changes of the kind.
	version versioner.Version
}

// submitRequest asks for the placement of a request.
type submitRequest struct {
	request scheduler.Request
	// parts are the shared parts of the prompt.
	parts []namer.Part
	reply chan<- scheduler.Decision
}

// withdrawRequest cancels a request that waits for its placement.
type withdrawRequest struct {
	request namer.Request
}

// requestStarted reports the first event of a request.
type requestStarted struct {
	request namer.Request
}

// requestEnded reports the end of a request on its engines.
type requestEnded struct {
	request namer.Request
	outcome scheduler.Outcome
	faulty  namer.Target
}

// engineCrashed reports a request on which an engine crashed.
type engineCrashed struct {
	crash isolator.Crash
}

// partsSound reports that an engine has begun an answer to a prompt with the given parts, and hasn't crashed.
type partsSound struct {
	parts []namer.Part
}

// targetLeaves reports that a run of a target has said that it leaves.
type targetLeaves struct {
	run abstainer.Run
}

// pickRequest asks for a target of a plain service.
type pickRequest struct {
	service namer.Service
	exclude []namer.Target
	reply   chan<- pickResult
}

type pickResult struct {
	target balancer.Target
	found  bool
}

// plainRequestEnded reports the end of a request at a plain service.
type plainRequestEnded struct {
	target  namer.Target
	outcome balancer.Outcome
}

// leaveService takes this instance out of service.
type leaveService struct{}

func (storeChange) message()       {}
func (watchResult) message()       {}
func (submitRequest) message()     {}
func (withdrawRequest) message()   {}
func (requestStarted) message()    {}
func (requestEnded) message()      {}
func (targetLeaves) message()      {}
func (engineCrashed) message()     {}
func (partsSound) message()        {}
func (pickRequest) message()       {}
func (plainRequestEnded) message() {}
func (leaveService) message()      {}

// Member is an instance that callers may use.
type Member struct {
	// Name consists of the instance's name and incarnation.
	Name       string           `json:"name"`
	Instance   namer.Instance   `json:"instance"`
	Callers    string           `json:"callers"`
	Peers      string           `json:"peers"`
	DataCentre namer.DataCentre `json:"data_centre"`
	// Strong members are preferred as leaders, since they have enough processor time.
	Strong bool `json:"strong,omitempty"`
	// Cores is the processor capacity; 0 means unknown.
	Cores float64 `json:"cores,omitempty"`
}

// decideInterval is the interval of decisions while requests are queued, since an engine may become free at any time.
const decideInterval = 5 * time.Millisecond

// publishInterval is the minimum interval between two views.
const publishInterval = 10 * time.Millisecond

// decidePauseFactor is the pause after a decision or a view, as a multiple of the time that it took. The pause leaves time
// for messages of followers, which drop a leader that is silent for 0.8 s.
const decidePauseFactor = 4

// upkeepInterval is the interval of periodic work, such as the removal of missing targets and silent peers.
const upkeepInterval = 50 * time.Millisecond
