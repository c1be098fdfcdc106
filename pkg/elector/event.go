package elector

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/tracker"
)

// Event is an input of the elector.
type Event interface{ event() }

// HeartbeatSent records that this instance sends a number now, in a heartbeat or in its member record.
// It must be handled before the number is sent.
type HeartbeatSent struct {
	Number int64
}

// HeartbeatReceived is a heartbeat received from a peer, or a peer's answer to one.
type HeartbeatReceived struct {
	From   namer.Holder
	State  tracker.State
	Number int64
	// TableVersion is the version of the table that the peer had read when it sent Echoes.
	TableVersion int64
	// Echoes holds the highest numbers that the peer has received from other processes, including this instance.
	Echoes []tracker.HeardNumber
}

// TableRead is the ownership table as the store answered; a missing table has version 0.
type TableRead struct {
	// Requested is the time on this instance's clock at which the read was sent.
	Requested time.Time
	Version   int64
	Table     Table
}

// MembersRead is the list of member records of the cell.
type MembersRead struct {
	Requested time.Time
	Members   []tracker.Member
}

// InstancesListed is the platform's list of live and leaving instances.
type InstancesListed struct {
	Requested time.Time
	Instances []namer.Instance
}

// TargetsRead is the list of the cell's targets.
type TargetsRead struct {
	Targets []Target
}

// Target is a target of the cell and whether its engine rejects old epochs.
type Target struct {
	ID      namer.Target
	Fencing bool
}

// WriteOutcome is how a conditional write ended.
type WriteOutcome string

// The outcomes of a write. A refused write has certainly not taken effect. After WriteUnknown the caller reads the table
// until a read answers.
const (
	WriteDone     WriteOutcome = "done"
	WriteConflict WriteOutcome = "conflict"
	WriteRefused  WriteOutcome = "refused"
	WriteUnknown  WriteOutcome = "unknown"
)

// WriteAnswered is the outcome of a WriteTable.
type WriteAnswered struct {
	WriteNumber int64
	Outcome     WriteOutcome
	// Version is the version written.
	Version int64
}

// FenceAnswered is an engine's answer to a FenceTarget; a missing answer is not reported.
type FenceAnswered struct {
	Target   namer.Target
	Epoch    namer.Epoch
	Boot     string
	Accepted bool
}

// EpochRejected reports that an engine answered a request with this epoch with stale_epoch.
type EpochRejected struct {
	Target namer.Target
	Epoch  namer.Epoch
}

// BootSeen reports the boot id of a target's engine.
type BootSeen struct {
	Target namer.Target
	Boot   string
}

// Leave starts the planned stop of this instance.
type Leave struct{}

// Tick drives all time-dependent decisions; it is due every Options.TickEvery.
type Tick struct{}

func (HeartbeatSent) event()     {}
func (HeartbeatReceived) event() {}
func (TableRead) event()         {}
func (MembersRead) event()       {}
func (InstancesListed) event()   {}
func (TargetsRead) event()       {}
func (WriteAnswered) event()     {}
func (FenceAnswered) event()     {}
func (EpochRejected) event()     {}
func (BootSeen) event()          {}
func (Leave) event()             {}
func (Tick) event()              {}
