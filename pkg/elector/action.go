package elector

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Action is an output of the elector.
type Action interface{ action() }

// WriteTable writes the table if it is still at the version; version 0 creates it.
type WriteTable struct {
	Version int64
	Table   Table
}

// ReadTable reads the table from the store.
type ReadTable struct{}

// FenceTarget sends a fence order to an engine.
type FenceTarget struct {
	Target namer.Target
	Epoch  namer.Epoch
}

// SetAuthority says what this instance may allocate on a target until a time on its clock. The target's allocator
// is kept when the share is zero: it counts quotas and use that outlast the authority.
type SetAuthority struct {
	Target namer.Target
	Share  float64
	Epoch  namer.Epoch
	Until  time.Time
}

// HandoverDone says that this instance owns nothing any more and may stop.
type HandoverDone struct{}

func (WriteTable) action()   {}
func (ReadTable) action()    {}
func (FenceTarget) action()  {}
func (SetAuthority) action() {}
func (HandoverDone) action() {}
