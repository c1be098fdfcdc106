package deduplicator

import (
	"slices"
	"time"
)

// SettlerSettings configure a settler.
type SettlerSettings struct {
	// MaxBytes bounds the memory for unsettled records; only outcomes are dropped, records of state not_run never.
	MaxBytes int
	// MaxOpen is the maximum number of records that are settled concurrently.
	MaxOpen int
	// RetryInterval is the delay before another attempt to settle a record.
	RetryInterval time.Duration
}

// DefaultSettlerSettings returns the default settings.
func DefaultSettlerSettings() SettlerSettings {
	return SettlerSettings{
		MaxBytes:      8 << 20,
		MaxOpen:       4,
		RetryInterval: time.Second,
	}
}

// Settler retries the final writes of ended calls until the final state is known to be stored.
type Settler struct {
	settings SettlerSettings
	entries  map[settleKey]*pendingRecord
	bytes    int
	number   int64
	dropped  int
}

// settleKey distinguishes the attempts of one process on the same record.
type settleKey struct {
	name    string
	attempt int64
}

type pendingRecord struct {
	number int64
	record Record
	due    time.Time
	// open means that a read or write of the record is in progress.
	open bool
}

// SettleRead reads a record; pass the result to Step with the same name and attempt.
type SettleRead struct {
	Name    string
	Attempt int64
}

// SettleCreate writes the final record if the object is absent, so that a delayed write of state started fails.
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
		entries:  map[settleKey]*pendingRecord{},
	}
}

// Add queues a final record; an outcome that would exceed MaxBytes is dropped, and its record stays in state started.
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
	}] = &pendingRecord{
		number: s.number,
		record: a.Record,
		due:    now,
	}
}

// Pending returns the number of records that are not settled.
func (s *Settler) Pending() int {
	return len(s.entries)
}

// Dropped returns the number of outcomes dropped because of MaxBytes.
func (s *Settler) Dropped() int {
	return s.dropped
}

// Tick starts to settle the records that are due, oldest first.
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

// Step processes the result of a read or write of the record.
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
	case ReadResult:
		return s.resolve(key, e, event)
	case Written:
		s.remove(key, e)
	default:
		// After a lost or refused write or a conflict, the record is read again.
		e.open = false
		e.due = now.Add(s.settings.RetryInterval)
	}
	return nil
}

// resolve replaces the attempt's own started record. For not_run it also replaces an absent or not_run record, so that a
// delayed write of state started conflicts.
func (s *Settler) resolve(key settleKey, e *pendingRecord, stored ReadResult) []Action {
	notRun := e.record.State == StateNotRun
	ownAttempt := stored.Record.Holder == e.record.Holder && stored.Record.Attempt == e.record.Attempt
	claimable := stored.Record.State == StateNotRun && stored.Record.Digest == e.record.Digest
	switch {
	case !stored.Exists && notRun:
		return []Action{SettleCreate{
			Name:    key.name,
			Attempt: key.attempt,
			Record:  e.record,
		}}
	case stored.Exists && (ownAttempt && stored.Record.State == StateStarted || !ownAttempt && notRun && claimable):
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

func (s *Settler) remove(key settleKey, e *pendingRecord) {
	s.bytes -= e.record.size()
	delete(s.entries, key)
}

// recordBytes is the estimated size of a record without the body of its outcome.
const recordBytes = 400

func (r Record) size() int {
	if r.Outcome == nil {
		return recordBytes
	}
	return recordBytes + len(r.Outcome.Body)
}
