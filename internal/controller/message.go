package controller

import (
	"time"

	"bergamothollow.example/bergamothollow/internal/messenger"
	"bergamothollow.example/bergamothollow/internal/streamer"
	"bergamothollow.example/bergamothollow/pkg/elector"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/recorder"
	"bergamothollow.example/bergamothollow/pkg/refuser"
	"bergamothollow.example/bergamothollow/pkg/roller"
	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/tracker"
)

// message is a message to the control goroutine.
type message interface{ message() }

// admissionResult is the placement of a request, or its refusal.
type admissionResult struct {
	placement *Placement
	err       error
}

// callAdmissionResult is the placement of a service call, or its refusal.
type callAdmissionResult struct {
	placement CallPlacement
	err       error
}

// Messages from the exported methods of Controller.
type (
	admissionRequest struct {
		request *Request
		failure *Failure
		reply   chan<- admissionResult
	}
	admissionCancelled struct {
		admission *admissionRequest
	}
	firstTokenReceived struct {
		placement *Placement
		elapsed   time.Duration
	}
	attemptReleased struct {
		placement *Placement
		outcome   Outcome
	}
	startRequested struct {
		placement *Placement
		reply     chan<- bool
	}
	tokenIntervalMeasured struct {
		placement *Placement
		mean      time.Duration
		tokens    int
	}
	requestRefused struct {
		record refuser.Record
		reply  chan<- string
	}
	callRequested struct {
		request *CallRequest
		reply   chan<- callAdmissionResult
	}
	callEnded struct {
		target namer.Target
	}
	addressesRequested struct {
		reply chan<- AddressAnswer
	}
	readinessRequested struct {
		reply chan<- bool
	}
	leaveRequested struct{}
)

// Messages from peers, and results of calls to peers.
type (
	heartbeatReceived struct {
		heartbeat messenger.Heartbeat
		reply     chan<- messenger.Heartbeat
	}
	heartbeatAnswered struct {
		peer   tracker.Peer
		sent   time.Time
		answer messenger.Heartbeat
		err    error
	}
	reserveReceived struct {
		request messenger.ReserveRequest
		reply   chan<- messenger.ReserveAnswer
	}
	reserveAnswered struct {
		request messenger.ReserveRequest
		answer  messenger.ReserveAnswer
		err     error
	}
	releaseReceived struct {
		request messenger.ReleaseRequest
	}
	confirmReceived struct {
		request messenger.ConfirmRequest
		reply   chan<- messenger.ConfirmAnswer
	}
	confirmAnswered struct {
		holder namer.Holder
		target namer.Target
		answer messenger.ConfirmAnswer
		err    error
	}
	bundleRequested struct {
		reply chan<- roller.Signed
	}
	departuresRequested struct {
		reply chan<- messenger.FetchDepartureAnswer
	}
	departuresFetched struct {
		requested time.Time
		peer      namer.Holder
		answer    messenger.FetchDepartureAnswer
		err       error
	}
)

// Results of store calls; a bundle may also come from a peer.
type (
	membersRead struct {
		requested time.Time
		objects   []storer.Object
		err       error
	}
	targetsRead struct {
		objects []storer.Object
		err     error
	}
	tableRead struct {
		requested time.Time
		version   int64
		table     elector.Table
		err       error
	}
	tableWritten struct {
		number  int64
		version int64
		err     error
	}
	instancesRead struct {
		requested time.Time
		instances []storer.ListedInstance
		err       error
	}
	memberWritten struct {
		version int64
		err     error
	}
	pointerRead struct {
		pointer roller.Pointer
		missing bool
		err     error
	}
	departuresRead struct {
		requested time.Time
		version   int64
		departure tracker.Departure
		err       error
	}
	bundleFetched struct {
		source namer.Instance
		signed roller.Signed
		err    error
	}
	refusalsWritten struct {
		batch recorder.WriteBatch
		err   error
	}
)

// Results of engine calls.
type (
	engineRequestsRead struct {
		target    namer.Target
		requested time.Time
		list      streamer.RequestList
		err       error
	}
	engineLoadRead struct {
		target namer.Target
		load   streamer.Load
		err    error
	}
	cacheEventsRead struct {
		target namer.Target
		events streamer.CacheEvents
		err    error
	}
	fenceAnswered struct {
		target namer.Target
		epoch  namer.Epoch
		err    error
	}
)

func (*admissionRequest) message()     {}
func (admissionCancelled) message()    {}
func (firstTokenReceived) message()    {}
func (startRequested) message()        {}
func (tokenIntervalMeasured) message() {}
func (attemptReleased) message()       {}
func (requestRefused) message()        {}
func (callRequested) message()         {}
func (callEnded) message()             {}
func (addressesRequested) message()    {}
func (readinessRequested) message()    {}
func (leaveRequested) message()        {}
func (heartbeatReceived) message()     {}
func (heartbeatAnswered) message()     {}
func (reserveReceived) message()       {}
func (reserveAnswered) message()       {}
func (releaseReceived) message()       {}
func (confirmReceived) message()       {}
func (confirmAnswered) message()       {}
func (bundleRequested) message()       {}
func (departuresRequested) message()   {}
func (departuresFetched) message()     {}
func (membersRead) message()           {}
func (targetsRead) message()           {}
func (tableRead) message()             {}
func (tableWritten) message()          {}
func (instancesRead) message()         {}
func (memberWritten) message()         {}
func (pointerRead) message()           {}
func (departuresRead) message()        {}
func (bundleFetched) message()         {}
func (refusalsWritten) message()       {}
func (engineRequestsRead) message()    {}
func (engineLoadRead) message()        {}
func (cacheEventsRead) message()       {}
func (fenceAnswered) message()         {}
