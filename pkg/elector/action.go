package elector

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Action is an output of the elector.
type Action interface{ action() }

// WriteTable writes the table on condition that its version in the store is still Version; version 0 creates it.
type WriteTable struct {
	Version int64
	Table   Table
}

// ReadTable reads the table from the store.
type ReadTable struct{}

// FenceTarget orders an engine to reject requests with an epoch below Epoch.
type FenceTarget struct {
	Target namer.Target
	Epoch  namer.Epoch
}

// SetAuthority sets the share of a target's memory that this instance may allocate until a time on its clock. The
// target's allocator is kept when the share is zero, because it counts quotas and use that outlast the authority.
type SetAuthority struct {
	Target namer.Target
	Share  float64
	Epoch  namer.Epoch
	Until  time.Time
}

// HandoverDone reports that a leaving instance owns no target any more and may stop.
type HandoverDone struct{}

func (WriteTable) action()   {}
func (ReadTable) action()    {}
func (FenceTarget) action()  {}
func (SetAuthority) action() {}
func (HandoverDone) action() {}
