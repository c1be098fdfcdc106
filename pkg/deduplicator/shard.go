package deduplicator

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// ShardSettings configure a shard.
type ShardSettings struct {
	Holder namer.Holder
	// Delay is how long the first change of a batch waits for others.
	Delay time.Duration
	// MaxChanges closes a batch at once.
	MaxChanges int
	// MaxRecords bounds the object, which must stay under the store's limit on values.
	MaxRecords int
	// Retention is how long a record is kept after the deadline of its call.
	Retention time.Duration
	// AnswerTimeout is how long a write may be unanswered before the object is read.
	AnswerTimeout time.Duration
}

// DefaultShardSettings returns the settings of the batched alternative.
func DefaultShardSettings(holder namer.Holder) ShardSettings {
	return ShardSettings{
		Holder:        holder,
		Delay:         20 * time.Millisecond,
		MaxChanges:    50,
		MaxRecords:    2000,
		Retention:     24 * time.Hour,
		AnswerTimeout: time.Second,
	}
}

// ShardObject is the value that holds the records of one shard.
type ShardObject struct {
	Writer      namer.Holder      `json:"writer"`
	WriteNumber int64             `json:"write_number"`
	Records     map[string]Record `json:"records"`
}

// ShardOf returns the shard of a record name.
func ShardOf(name string, shards uint32) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32() % shards
}

// Change is one record to be written; Expect is the record that it replaces, nil if it must be absent.
type Change struct {
	ID     int64
	Name   string
	Expect *Record
	Record Record
}

// WriteShard writes the object at a version (0: create); report with the same Call to ShardWritten, ShardRead (on a
// conflict) or ShardFailed.
type WriteShard struct {
	Call    int64
	Version int64
	Object  ShardObject
}

// ReadShard reads the object; report with the same Call to ShardRead or ShardFailed.
type ReadShard struct {
	Call int64
}

// Applied says that the change is stored.
type Applied struct {
	ID int64
}

// Rejected says that the change did not take effect because another record is stored.
type Rejected struct {
	ID     int64
	Exists bool
	Record Record
}

// Failed says that the change is not stored; Lost tells that it may still be.
type Failed struct {
	ID   int64
	Lost bool
}

func (WriteShard) action() {}
func (ReadShard) action()  {}
func (Applied) action()    {}
func (Rejected) action()   {}
func (Failed) action()     {}

// Shard batches changes of many records into writes of one object; one write is open at a time.
type Shard struct {
	settings ShardSettings
	version  int64
	records  map[string]Record
	loaded   bool
	number   int64
	// call numbers the calls of the store; answers to other calls than the last are ignored.
	call    int64
	waiting []Change
	oldest  time.Time
	batch   []Change
	next    map[string]Record
	busy    bool
	// uncertain means that the open write may have taken effect.
	uncertain bool
	// open holds the changes of unanswered writes at the current version: until the version moves on, such a write may
	// still take effect, also after the object was read back unchanged.
	open     map[int64]bool
	deadline time.Time
}

// NewShard returns a shard that reads its object before it writes.
func NewShard(settings ShardSettings) *Shard {
	return &Shard{
		settings: settings,
	}
}

// Submit adds a change to the next batch.
func (s *Shard) Submit(c Change, now time.Time) []Action {
	if len(s.waiting) == 0 {
		s.oldest = now
	}
	s.waiting = append(s.waiting, c)
	return s.decide(now)
}

// Tick writes a batch that has waited long enough.
func (s *Shard) Tick(now time.Time) []Action {
	if s.busy && !now.Before(s.deadline) {
		s.doubt()
		return s.read(now)
	}
	return s.decide(now)
}

// ShardWritten takes the confirmation of the open write.
func (s *Shard) ShardWritten(call, version int64, now time.Time) []Action {
	if call != s.call || !s.busy || s.next == nil {
		return nil
	}
	return s.confirm(version, now)
}

// ShardRead takes the object as it is now: after a conflict, a lost answer, or at the start (version 0: absent).
func (s *Shard) ShardRead(call, version int64, o ShardObject, now time.Time) []Action {
	if call != s.call || !s.busy || version < s.version {
		return nil
	}
	if s.next != nil && o.Writer == s.settings.Holder && o.WriteNumber == s.number {
		return s.confirm(version, now)
	}
	s.advance(version)
	s.records = o.Records
	s.loaded = true
	s.busy = false
	s.uncertain = false
	s.next = nil
	// The open batch goes first in the next one; it is judged by the new records.
	s.waiting = append(s.batch, s.waiting...)
	s.batch = nil
	return s.decide(now)
}

// ShardFailed fails the open batch; lost tells that the write may have taken effect.
func (s *Shard) ShardFailed(call int64, lost bool, now time.Time) []Action {
	if call != s.call || !s.busy {
		return nil
	}
	if lost && s.next != nil && !s.uncertain {
		s.doubt()
		return s.read(now)
	}
	failed := slices.Concat(s.batch, s.waiting)
	s.loaded = false
	s.busy = false
	s.uncertain = false
	s.next = nil
	s.batch = nil
	s.waiting = nil
	actions := make([]Action, 0, len(failed))
	for _, c := range failed {
		actions = append(actions, Failed{
			ID:   c.ID,
			Lost: s.open[c.ID],
		})
	}
	return actions
}

func (s *Shard) confirm(version int64, now time.Time) []Action {
	actions := make([]Action, 0, len(s.batch))
	for _, c := range s.batch {
		actions = append(actions, Applied{
			ID: c.ID,
		})
	}
	s.advance(version)
	s.records = s.next
	s.next = nil
	s.batch = nil
	s.busy = false
	s.uncertain = false
	return append(actions, s.decide(now)...)
}

// doubt notes that the open write may take effect unnoticed.
func (s *Shard) doubt() {
	if s.next == nil {
		return
	}
	s.uncertain = true
	if s.open == nil {
		s.open = map[int64]bool{}
	}
	for _, c := range s.batch {
		s.open[c.ID] = true
	}
}

// advance moves to a version; writes that were conditional on an earlier one can no longer take effect.
func (s *Shard) advance(version int64) {
	if version > s.version {
		s.open = nil
	}
	s.version = version
}

func (s *Shard) read(now time.Time) []Action {
	s.busy = true
	s.deadline = now.Add(s.settings.AnswerTimeout)
	s.call++
	return []Action{ReadShard{
		Call: s.call,
	}}
}

func (s *Shard) decide(now time.Time) []Action {
	full := len(s.waiting) >= s.settings.MaxChanges
	if s.busy || len(s.waiting) == 0 || !full && now.Sub(s.oldest) < s.settings.Delay {
		return nil
	}
	if !s.loaded {
		return s.read(now)
	}
	return s.write(now)
}

// write applies the waiting changes to a copy of the records and writes it.
func (s *Shard) write(now time.Time) []Action {
	var actions []Action
	next := maps.Clone(s.records)
	if next == nil {
		next = map[string]Record{}
	}
	s.expire(next, now)
	taken := min(len(s.waiting), s.settings.MaxChanges)
	for _, c := range s.waiting[:taken] {
		if refused := s.apply(next, c); refused != nil {
			actions = append(actions, refused)
			continue
		}
		s.batch = append(s.batch, c)
	}
	s.waiting = append([]Change(nil), s.waiting[taken:]...)
	s.oldest = now
	if len(s.batch) == 0 {
		return actions
	}
	s.number++
	s.call++
	s.next = next
	s.busy = true
	s.deadline = now.Add(s.settings.AnswerTimeout)
	return append(actions, WriteShard{
		Call:    s.call,
		Version: s.version,
		Object: ShardObject{
			Writer:      s.settings.Holder,
			WriteNumber: s.number,
			Records:     next,
		},
	})
}

func (s *Shard) apply(next map[string]Record, c Change) Action {
	stored, exists := next[c.Name]
	switch {
	case exists != (c.Expect != nil) || exists && !sameWrite(stored, *c.Expect):
		return Rejected{
			ID:     c.ID,
			Exists: exists,
			Record: stored,
		}
	case !exists && len(next) >= s.settings.MaxRecords:
		return Failed{
			ID: c.ID,
		}
	}
	next[c.Name] = c.Record
	return nil
}

func (s *Shard) expire(records map[string]Record, now time.Time) {
	for name, r := range records {
		if now.Sub(r.Deadline) >= s.settings.Retention {
			delete(records, name)
		}
	}
}

// sameWrite compares what identifies one write of a record.
func sameWrite(a, b Record) bool {
	return a.Holder == b.Holder && a.Attempt == b.Attempt && a.State == b.State
}
