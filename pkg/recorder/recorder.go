package recorder

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

// Settings configure a recorder.
type Settings struct {
	Holder namer.Holder
	// FlushInterval is the maximum time that a record waits in an open batch.
	FlushInterval time.Duration
	// FlushBytes is the size at which a batch is closed without delay.
	FlushBytes int
	// MemoryBytes bounds the size of the records kept while the store is down.
	MemoryBytes int
	// RetryInterval is the time between attempts to write a batch.
	RetryInterval time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings(holder namer.Holder) Settings {
	return Settings{
		Holder:        holder,
		FlushInterval: 2 * time.Second,
		FlushBytes:    256 << 10,
		MemoryBytes:   8 << 20,
		RetryInterval: time.Second,
	}
}

// Action is an instruction of a recorder to its caller.
type Action interface{ action() }

// WriteBatch creates refusal/<name>; pass the result to Finish. A conflict means that the batch is already stored.
type WriteBatch struct {
	Number int64
	Name   string
	Value  json.RawMessage
}

func (WriteBatch) action() {}

// Batch is the value of one object of kind refusal.
type Batch struct {
	Writer      namer.Holder     `json:"writer"`
	WriteNumber int64            `json:"write_number"`
	Records     []refuser.Record `json:"records"`
}

// storedBatch is a Batch whose records are already encoded.
type storedBatch struct {
	Writer      namer.Holder      `json:"writer"`
	WriteNumber int64             `json:"write_number"`
	Records     []json.RawMessage `json:"records"`
}

// numberWidth is the width in digits of batch numbers, padded so that names of one process sort by number.
const numberWidth = 8

const (
	// foldedBytes is the estimated size of one folded record.
	foldedBytes = 350
	// maxFolded keeps a batch with all folded records under the store's limit of 1 MB; further refusals are folded into
	// records without a customer.
	maxFolded = 1500
)

// Recorder batches refusal records. When the store is down for so long that they exceed MemoryBytes, it folds the oldest
// ones: it replaces them by one record with a count for each customer, reason and value of Ran.
type Recorder struct {
	settings Settings
	// number is the number of the open batch.
	number int64
	open   batch
	// closed contains the closed batches that are not known to be stored, oldest first.
	closed []*batch
	folded map[foldKey]*refuser.Record
	// bytes is the size of the records in the open and the closed batches.
	bytes   int
	retryAt time.Time
}

type batch struct {
	number int64
	// since is when the first record was added.
	since   time.Time
	bytes   int
	records []json.RawMessage
	// keys and refusedAt describe the records one by one, in case the batch is folded.
	keys      []foldKey
	refusedAt []time.Time
	writing   bool
	// sent means that a write was started: the value may already be stored and must not change.
	sent bool
}

// foldKey identifies the refusals that are counted in one folded record.
type foldKey struct {
	customer namer.Customer
	reason   refuser.Reason
	ran      refuser.Ran
}

// New returns a recorder without records.
func New(settings Settings, _ time.Time) *Recorder {
	return &Recorder{
		settings: settings,
		number:   1,
		open: batch{
			number: 1,
		},
		folded: map[foldKey]*refuser.Record{},
	}
}

// Add adds a refusal to the open batch and returns the id for the answer to its caller.
func (r *Recorder) Add(record refuser.Record, now time.Time) (string, []Action) {
	if record.ID == "" {
		record.ID = r.name(r.open.number) + "." + strconv.Itoa(len(r.open.records))
	}
	encoded, err := json.Marshal(record)
	if err != nil {
		// Encoding fails only for figures that are not finite numbers; the refusal is kept without them.
		record.Figures = refuser.Figures{}
		encoded, _ = json.Marshal(record)
	}
	r.open.add(record, encoded, now)
	r.bytes += len(encoded)
	var actions []Action
	if r.open.bytes >= r.settings.FlushBytes {
		r.close()
		actions = r.write(now)
	}
	r.shrink()
	return record.ID, actions
}

// Tick closes the open batch if it is due, and writes the next batch.
func (r *Recorder) Tick(now time.Time) []Action {
	if r.openDue(now) {
		r.close()
	}
	return r.write(now)
}

// Close starts to write all records without delay, for a graceful shutdown; it is complete when Pending returns 0.
func (r *Recorder) Close(now time.Time) []Action {
	r.close()
	r.retryAt = time.Time{}
	return r.write(now)
}

// Finish processes the result of a write; a conflict counts as stored, because no other process uses the name.
func (r *Recorder) Finish(number int64, stored bool, now time.Time) []Action {
	i := slices.IndexFunc(r.closed, func(b *batch) bool {
		return b.number == number
	})
	if i < 0 {
		return nil
	}
	if !stored {
		r.closed[i].writing = false
		r.retryAt = now.Add(r.settings.RetryInterval)
		return nil
	}
	r.bytes -= r.closed[i].bytes
	r.closed = slices.Delete(r.closed, i, i+1)
	r.retryAt = time.Time{}
	return r.write(now)
}

// Pending returns the size in bytes of the records that are not known to be stored.
func (r *Recorder) Pending() int {
	return r.bytes + foldedBytes*len(r.folded)
}

func (r *Recorder) name(number int64) string {
	return fmt.Sprintf("%s.%s.%0*d", r.settings.Holder.Instance, r.settings.Holder.Incarnation, numberWidth, number)
}

func (r *Recorder) openDue(now time.Time) bool {
	if len(r.open.records) == 0 {
		return len(r.folded) > 0 && len(r.closed) == 0
	}
	return now.Sub(r.open.since) >= r.settings.FlushInterval
}

// close closes the open batch; one without records is closed only to write the folded records.
func (r *Recorder) close() {
	if len(r.open.records) == 0 && len(r.folded) == 0 {
		return
	}
	closed := r.open
	r.closed = append(r.closed, &closed)
	r.number++
	r.open = batch{
		number: r.number,
	}
}

// write starts to write the oldest batch; only one write is in progress at a time, which limits the load after an outage.
func (r *Recorder) write(now time.Time) []Action {
	if len(r.closed) == 0 || r.closed[0].writing || now.Before(r.retryAt) {
		return nil
	}
	b := r.closed[0]
	b.writing = true
	r.attachFolded(b)
	value, err := json.Marshal(storedBatch{
		Writer:      r.settings.Holder,
		WriteNumber: b.number,
		Records:     b.records,
	})
	if err != nil {
		return nil
	}
	return []Action{WriteBatch{
		Number: b.number,
		Name:   r.name(b.number),
		Value:  value,
	}}
}

// attachFolded adds the folded records before the first write of a batch only: its value must not change after that, since
// the write may take effect without a response.
func (r *Recorder) attachFolded(b *batch) {
	if b.sent {
		return
	}
	b.sent = true
	for _, key := range slices.SortedFunc(maps.Keys(r.folded), compareKeys) {
		record := r.folded[key]
		record.ID = r.name(b.number) + "." + strconv.Itoa(len(b.records))
		encoded, err := json.Marshal(record)
		if err != nil {
			continue
		}
		b.records = append(b.records, encoded)
		b.bytes += len(encoded)
		r.bytes += len(encoded)
	}
	r.folded = map[foldKey]*refuser.Record{}
}

// shrink folds the oldest batches into counts until the records fit into MemoryBytes; a batch that was sent is kept.
func (r *Recorder) shrink() {
	for r.Pending() > r.settings.MemoryBytes {
		i := slices.IndexFunc(r.closed, func(b *batch) bool {
			return !b.sent
		})
		if i < 0 {
			return
		}
		b := r.closed[i]
		for n, key := range b.keys {
			r.fold(key, b.refusedAt[n])
		}
		r.bytes -= b.bytes
		r.closed = slices.Delete(r.closed, i, i+1)
	}
}

func (r *Recorder) fold(key foldKey, at time.Time) {
	record := r.folded[key]
	if record == nil && len(r.folded) >= maxFolded {
		key.customer = ""
		record = r.folded[key]
	}
	if record == nil {
		record = &refuser.Record{
			Instance: r.settings.Holder.Instance,
			Customer: key.customer,
			Reason:   key.reason,
			Ran:      key.ran,
			Message:  "single records were dropped while the store was unavailable",
		}
		r.folded[key] = record
	}
	record.MergedCount++
	if at.After(record.At) {
		record.At = at
	}
}

func (b *batch) add(record refuser.Record, encoded json.RawMessage, now time.Time) {
	if len(b.records) == 0 {
		b.since = now
	}
	b.records = append(b.records, encoded)
	b.bytes += len(encoded)
	b.refusedAt = append(b.refusedAt, record.At)
	b.keys = append(b.keys, foldKey{
		customer: record.Customer,
		reason:   record.Reason,
		ran:      record.Ran,
	})
}

func compareKeys(a, b foldKey) int {
	return cmp.Or(
		cmp.Compare(a.customer, b.customer),
		cmp.Compare(a.reason, b.reason),
		cmp.Compare(a.ran, b.ran),
	)
}
