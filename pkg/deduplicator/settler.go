package deduplicator

import (
	"slices"
	"time"
)

// SettlerSettings configure a settler.
type SettlerSettings struct {
	// MaxBytes bounds the outcomes kept for the time when the store is back; not_run is kept before outcomes.
	MaxBytes int
	// MaxOpen is the number of records that are settled at the same time.
	MaxOpen int
	// RetryInterval is the time between attempts on one record.
	RetryInterval time.Duration
}

// DefaultSettlerSettings returns the settings of today's deployment.
func DefaultSettlerSettings() SettlerSettings {
	return SettlerSettings{
		MaxBytes:      8 << 20,
		MaxOpen:       4,
		RetryInterval: time.Second,
	}
}

// Settler finishes the writes of ended calls whose final state is not known to be stored.
type Settler struct {
	settings SettlerSettings
	entries  map[settleKey]*settling
	bytes    int
	number   int64
	dropped  int
}

// settleKey tells apart two attempts of one process on the same record.
type settleKey struct {
	name    string
	attempt int64
}

type settling struct {
	number int64
	record Record
	due    time.Time
	open   bool
}

// SettleRead asks for a record; the answer goes to Step with the same name and attempt.
type SettleRead struct {
	Name    string
	Attempt int64
}

// SettleCreate writes the final record if the object is absent, so that a late write of state started fails.
type SettleCreate struct {
	Name    string
	Attempt int64
	Record  Record
}

// SettleUpdate writes the final record at a version.
type SettleUpdate struct {
	Name    string
	Attempt int64
	Version int64
	Record  Record
}

func (SettleRead) action()   {}
func (SettleCreate) action() {}
func (SettleUpdate) action() {}

// NewSettler returns a settler without records.
func NewSettler(settings SettlerSettings) *Settler {
	return &Settler{
		settings: settings,
		entries:  map[settleKey]*settling{},
	}
}

// Add takes a final write that is still open; an outcome beyond the bound is dropped and stays unknown.
func (s *Settler) Add(a Settle, now time.Time) {
	size := a.Record.size()
	if a.Record.State == StateDone && s.bytes+size > s.settings.MaxBytes {
		s.dropped++
		return
	}
	s.number++
	s.bytes += size
	s.entries[settleKey{
		name:    a.Name,
		attempt: a.Record.Attempt,
	}] = &settling{
		number: s.number,
		record: a.Record,
		due:    now,
	}
}

// Pending returns how many records are not settled.
func (s *Settler) Pending() int {
	return len(s.entries)
}

// Dropped returns how many outcomes were dropped to stay within the bound.
func (s *Settler) Dropped() int {
	return s.dropped
}

// Tick starts what is due, oldest first.
func (s *Settler) Tick(now time.Time) []Action {
	open := 0
	var due []settleKey
	for key, e := range s.entries {
		switch {
		case e.open:
			open++
		case !now.Before(e.due):
			due = append(due, key)
		}
	}
	slices.SortFunc(due, func(a, b settleKey) int {
		return int(s.entries[a].number - s.entries[b].number)
	})
	var actions []Action
	for _, key := range due[:min(len(due), max(0, s.settings.MaxOpen-open))] {
		s.entries[key].open = true
		actions = append(actions, SettleRead{
			Name:    key.name,
			Attempt: key.attempt,
		})
	}
	return actions
}

// Step takes the outcome of a read or write of the record.
func (s *Settler) Step(name string, attempt int64, event Event, now time.Time) []Action {
	key := settleKey{
		name:    name,
		attempt: attempt,
	}
	e := s.entries[key]
	if e == nil || !e.open {
		return nil
	}
	switch event := event.(type) {
	case ReadBack:
		return s.judge(key, e, event)
	case Written:
		s.remove(key, e)
	default:
		// A lost or refused write and a conflict are judged by the next read.
		e.open = false
		e.due = now.Add(s.settings.RetryInterval)
	}
	return nil
}

// judge writes over the attempt's own started record, and over what a late write of state started could replace.
func (s *Settler) judge(key settleKey, e *settling, stored ReadBack) []Action {
	notRun := e.record.State == StateNotRun
	mine := stored.Record.Holder == e.record.Holder && stored.Record.Attempt == e.record.Attempt
	claimable := stored.Record.State == StateNotRun && stored.Record.Digest == e.record.Digest
	switch {
	case !stored.Exists && notRun:
		return []Action{SettleCreate{
			Name:    key.name,
			Attempt: key.attempt,
			Record:  e.record,
		}}
	case stored.Exists && (mine && stored.Record.State == StateStarted || !mine && notRun && claimable):
		return []Action{SettleUpdate{
			Name:    key.name,
			Attempt: key.attempt,
			Version: stored.Version,
			Record:  e.record,
		}}
	default:
		s.remove(key, e)
		return nil
	}
}

func (s *Settler) remove(key settleKey, e *settling) {
	s.bytes -= e.record.size()
	delete(s.entries, key)
}

// recordBytes is the size of a record without the body of its outcome.
const recordBytes = 400

func (r Record) size() int {
	if r.Outcome == nil {
		return recordBytes
	}
	return recordBytes + len(r.Outcome.Body)
}
