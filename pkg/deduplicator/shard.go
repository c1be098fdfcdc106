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
	// Delay is the maximum time that a change waits for its batch to fill.
	Delay time.Duration
	// MaxChanges is the batch size at which a batch is written without delay.
	MaxChanges int
	// MaxRecords keeps the object under the store's limit on values.
	MaxRecords int
	// Retention is how long a record is kept after the deadline of its call.
	Retention time.Duration
	// AnswerTimeout is the time after which the object is read because a call to the store got no response.
	AnswerTimeout time.Duration
}

// DefaultShardSettings returns the default settings of a shard, the batched alternative to one object per record.
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

// ShardObject is the stored value with the records of one shard.
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

// Change is a conditional write of one record; Expect is the record that it replaces, nil if the record must be absent.
type Change struct {
	ID     int64
	Name   string
	Expect *Record
	Record Record
}

// WriteShard writes the object at a version (0: create); pass the result with the same Call to ConfirmWrite, ReceiveObject
// (on a conflict) or FailCall.
type WriteShard struct {
	Call    int64
	Version int64
	Object  ShardObject
}

// ReadShard reads the object; pass the result with the same Call to ReceiveObject or FailCall.
type ReadShard struct {
	Call int64
}

// Applied reports that the change is stored.
type Applied struct {
	ID int64
}

// Rejected reports that the change did not take effect because the stored record is not the expected one.
type Rejected struct {
	ID     int64
	Exists bool
	Record Record
}

// Failed reports that the change was not confirmed; unless Lost is set, it did not and will not take effect.
type Failed struct {
	ID   int64
	Lost bool
}

func (WriteShard) action() {}
func (ReadShard) action()  {}
func (Applied) action()    {}
func (Rejected) action()   {}
func (Failed) action()     {}

// Shard batches changes of many records into writes of one object, with one write in progress at a time.
type Shard struct {
	settings    ShardSettings
	version     int64
	records     map[string]Record
	loaded      bool
	writeNumber int64
	// call is the number of the last call to the store; responses to earlier calls are ignored.
	call int64
	// waiting holds the changes of the next batch, whose delay counts from oldest.
	waiting []Change
	oldest  time.Time
	// batch holds the changes of the write in progress, and next the records that it writes.
	batch []Change
	next  map[string]Record
	busy  bool
	// uncertain means that the write in progress got no response and may have taken effect.
	uncertain bool
	// unanswered holds the changes of unanswered writes at the current version: until the version increases, such a write may
	// still take effect, even after the object was read back unchanged.
	unanswered map[int64]bool
	deadline   time.Time
}

// NewShard returns a shard that reads its object before its first write.
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
	return s.flushIfDue(now)
}

// Tick writes a batch whose delay is over, or reads the object if a call to the store has timed out.
func (s *Shard) Tick(now time.Time) []Action {
	if s.busy && !now.Before(s.deadline) {
		s.markUncertain()
		return s.read(now)
	}
	return s.flushIfDue(now)
}

// ConfirmWrite processes the confirmation of the write in progress.
func (s *Shard) ConfirmWrite(call, version int64, now time.Time) []Action {
	if call != s.call || !s.busy || s.next == nil {
		return nil
	}
	return s.confirm(version, now)
}

// ReceiveObject processes the current object, read at the start, after a conflict or after a lost response (version 0: absent).
func (s *Shard) ReceiveObject(call, version int64, o ShardObject, now time.Time) []Action {
	if call != s.call || !s.busy || version < s.version {
		return nil
	}
	if s.next != nil && o.Writer == s.settings.Holder && o.WriteNumber == s.writeNumber {
		return s.confirm(version, now)
	}
	s.advance(version)
	s.records = o.Records
	s.loaded = true
	s.busy = false
	s.uncertain = false
	s.next = nil
	// The changes of the failed write go first in the next batch and are checked against the new records.
	s.waiting = append(s.batch, s.waiting...)
	s.batch = nil
	return s.flushIfDue(now)
}

// FailCall processes a failed call to the store. If the write may have taken effect (lost), it reads the object first;
// otherwise it fails all pending changes.
func (s *Shard) FailCall(call int64, lost bool, now time.Time) []Action {
	if call != s.call || !s.busy {
		return nil
	}
	if lost && s.next != nil && !s.uncertain {
		s.markUncertain()
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
			Lost: s.unanswered[c.ID],
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
	return append(actions, s.flushIfDue(now)...)
}

// markUncertain records that the write in progress may take effect without a response.
func (s *Shard) markUncertain() {
	if s.next == nil {
		return
	}
	s.uncertain = true
	if s.unanswered == nil {
		s.unanswered = map[int64]bool{}
	}
	for _, c := range s.batch {
		s.unanswered[c.ID] = true
	}
}

// advance sets the version; unanswered writes that were conditional on an earlier version can no longer take effect.
func (s *Shard) advance(version int64) {
	if version > s.version {
		s.unanswered = nil
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

func (s *Shard) flushIfDue(now time.Time) []Action {
	full := len(s.waiting) >= s.settings.MaxChanges
	if s.busy || len(s.waiting) == 0 || !full && now.Sub(s.oldest) < s.settings.Delay {
		return nil
	}
	if !s.loaded {
		return s.read(now)
	}
	return s.write(now)
}

// write applies the next batch to a copy of the records and writes the copy.
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
	s.writeNumber++
	s.call++
	s.next = next
	s.busy = true
	s.deadline = now.Add(s.settings.AnswerTimeout)
	return append(actions, WriteShard{
		Call:    s.call,
		Version: s.version,
		Object: ShardObject{
			Writer:      s.settings.Holder,
			WriteNumber: s.writeNumber,
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

// sameWrite reports whether two records come from the same write.
func sameWrite(a, b Record) bool {
	return a.Holder == b.Holder && a.Attempt == b.Attempt && a.State == b.State
}
