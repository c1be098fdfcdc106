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

// message is what the control goroutine receives.
type message interface{ message() }

// admission is the answer to a request for a placement.
type admission struct {
	placement *Placement
	err       error
}

// callAdmission is the answer to a call of a plain service.
type callAdmission struct {
	placement CallPlacement
	err       error
}

// Messages of the traffic part.
type (
	admit struct {
		request *Request
		failure *Failure
		reply   chan<- admission
	}
	abandoned struct {
		admission *admit
	}
	firstToken struct {
		placement *Placement
		elapsed   time.Duration
	}
	released struct {
		placement *Placement
		outcome   Outcome
	}
	startWanted struct {
		placement *Placement
		reply     chan<- bool
	}
	interval struct {
		placement *Placement
		mean      time.Duration
		tokens    int
	}
	refused struct {
		record refuser.Record
		reply  chan<- string
	}
	callWanted struct {
		request *CallRequest
		reply   chan<- callAdmission
	}
	callEnded struct {
		target namer.Target
	}
	addressesWanted struct {
		reply chan<- AddressAnswer
	}
	readyWanted struct {
		reply chan<- bool
	}
	leaveWanted struct{}
)

// Messages of peers.
type (
	beatHeard struct {
		beat  messenger.Heartbeat
		reply chan<- messenger.Heartbeat
	}
	beatAnswered struct {
		peer   tracker.Peer
		sent   time.Time
		answer messenger.Heartbeat
		err    error
	}
	reserveHeard struct {
		request messenger.ReserveRequest
		reply   chan<- messenger.ReserveAnswer
	}
	reserveAnswered struct {
		request messenger.ReserveRequest
		answer  messenger.ReserveAnswer
		err     error
	}
	releaseHeard struct {
		request messenger.ReleaseRequest
	}
	confirmHeard struct {
		request messenger.ConfirmRequest
		reply   chan<- messenger.ConfirmAnswer
	}
	confirmAnswered struct {
		holder namer.Holder
		target namer.Target
		answer messenger.ConfirmAnswer
		err    error
	}
	bundleWanted struct {
		reply chan<- roller.Signed
	}
	departureWanted struct {
		reply chan<- messenger.FetchDepartureAnswer
	}
	departureFetched struct {
		peer   namer.Holder
		answer messenger.FetchDepartureAnswer
		err    error
	}
)

// Messages of the store.
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
	departureRead struct {
		version   int64
		departure tracker.Departure
		err       error
	}
	bundleFetched struct {
		source namer.Instance
		signed roller.Signed
		err    error
	}
	batchWritten struct {
		batch recorder.WriteBatch
		err   error
	}
)

// Messages of engines.
type (
	engineListed struct {
		target    namer.Target
		requested time.Time
		list      streamer.RequestList
		err       error
	}
	engineLoaded struct {
		target namer.Target
		load   streamer.Load
		err    error
	}
	cacheRead struct {
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

func (*admit) message()           {}
func (abandoned) message()        {}
func (firstToken) message()       {}
func (startWanted) message()      {}
func (interval) message()         {}
func (released) message()         {}
func (refused) message()          {}
func (callWanted) message()       {}
func (callEnded) message()        {}
func (addressesWanted) message()  {}
func (readyWanted) message()      {}
func (leaveWanted) message()      {}
func (beatHeard) message()        {}
func (beatAnswered) message()     {}
func (reserveHeard) message()     {}
func (reserveAnswered) message()  {}
func (releaseHeard) message()     {}
func (confirmHeard) message()     {}
func (confirmAnswered) message()  {}
func (bundleWanted) message()     {}
func (departureWanted) message()  {}
func (departureFetched) message() {}
func (membersRead) message()      {}
func (targetsRead) message()      {}
func (tableRead) message()        {}
func (tableWritten) message()     {}
func (instancesRead) message()    {}
func (memberWritten) message()    {}
func (pointerRead) message()      {}
func (departureRead) message()    {}
func (bundleFetched) message()    {}
func (batchWritten) message()     {}
func (engineListed) message()     {}
func (engineLoaded) message()     {}
func (cacheRead) message()        {}
func (fenceAnswered) message()    {}
