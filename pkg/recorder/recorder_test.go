package recorder

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamothollow.example/bergamothollow/internal/schedule"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

const (
	// writeTime is the maximum duration of one write in the model.
	writeTime  = 200 * time.Millisecond
	valueLimit = 1 << 20
)

var (
	start  = time.Unix(1000, 0)
	holder = namer.Holder{
		Instance:    "pier-1",
		Incarnation: "a",
	}
)

func refusalOf(n int, at time.Time) refuser.Record {
	return refuser.Record{
		At:       at,
		Instance: holder.Instance,
		Customer: namer.Customer(fmt.Sprint("customer-", n%5)),
		Request:  namer.Request(fmt.Sprint("request-", n)),
		Subject:  "statement",
		Reason:   refuser.Reasons()[n%3],
		Ran:      refuser.RanNo,
		Message:  "the queue of the model is full: try again later",
		Deadline: at.Add(time.Minute),
		Figures: refuser.Figures{
			NeededTokens: 5000,
		},
		BundleSequence: 17,
	}
}

// model is a recorder with a store that is sometimes down or loses responses.
type model struct {
	*Recorder
	draw schedule.Draw
	now  time.Time
	down bool
	// repaired disables all faults.
	repaired bool
	stored   map[string]Batch
	added    map[string]time.Time
	open     []WriteBatch
}

func newModel(draw schedule.Draw, neverFlush bool) *model {
	settings := DefaultSettings(holder)
	settings.FlushBytes = 4000
	settings.MemoryBytes = 20000
	if neverFlush {
		settings.FlushInterval = time.Hour
	}
	return &model{
		Recorder: New(settings, start),
		draw:     draw,
		now:      start,
		stored:   map[string]Batch{},
		added:    map[string]time.Time{},
	}
}

// run executes a random schedule that ends with a kill of the process.
func (m *model) run(steps int) error {
	refused := 0
	for range steps {
		switch m.draw("step", 8) {
		default:
			for range 1 + m.draw("burst", 12) {
				refused++
				m.refuse(refused)
			}
		case 5, 6:
			m.advance(time.Duration(1+m.draw("pass", 20)) * 100 * time.Millisecond)
		case 7:
			m.down = !m.down
		}
		if m.Pending() > m.settings.MemoryBytes+m.settings.FlushBytes*2 {
			return fmt.Errorf("%d bytes are kept in memory", m.Pending())
		}
	}
	m.repaired = true
	m.down = false
	m.advance(drainTime)
	if total, _ := m.count(); total != refused {
		return fmt.Errorf("%d refusals are stored of %d after the store was up for %v", total, refused, drainTime)
	}
	for range 50 {
		refused++
		m.refuse(refused)
		m.advance(100 * time.Millisecond)
	}
	return m.checkKill(refused)
}

func (m *model) refuse(n int) {
	id, actions := m.Add(refusalOf(n, m.now), m.now)
	m.added[id] = m.now
	m.do(actions)
}

func (m *model) advance(d time.Duration) {
	for range d / (100 * time.Millisecond) {
		m.now = m.now.Add(100 * time.Millisecond)
		m.finish()
		m.do(m.Tick(m.now))
	}
}

func (m *model) do(actions []Action) {
	for _, a := range actions {
		m.open = append(m.open, a.(WriteBatch))
	}
}

// finish ends the open write: stored, stored with a lost response, or not stored.
func (m *model) finish() {
	open := m.open
	m.open = nil
	for _, w := range open {
		lost := !m.repaired && m.draw("lost", 10) == 9
		if !m.down {
			m.store(w)
		}
		m.do(m.Finish(w.Number, !m.down && !lost, m.now))
	}
}

// store creates the object; an existing object is unchanged.
func (m *model) store(w WriteBatch) {
	if _, exists := m.stored[w.Name]; exists || len(w.Value) > valueLimit {
		return
	}
	var b Batch
	if json.Unmarshal(w.Value, &b) == nil {
		m.stored[w.Name] = b
	}
}

// count returns the number of stored refusals, individual or folded, and the ids of the stored records.
func (m *model) count() (int, map[string]bool) {
	total := 0
	ids := map[string]bool{}
	for _, b := range m.stored {
		for _, r := range b.Records {
			total += max(1, r.MergedCount)
			ids[r.ID] = true
		}
	}
	return total, ids
}

// checkKill checks the store after a kill: only records of the last flush interval and write may be missing.
func (m *model) checkKill(refused int) error {
	total, ids := m.count()
	unflushed := 0
	for id, at := range m.added {
		if !ids[id] && m.now.Sub(at) <= m.settings.FlushInterval+writeTime {
			unflushed++
		}
	}
	if total+unflushed != refused {
		return fmt.Errorf("%d refusals are stored and %d are younger than the last flush, of %d", total, unflushed, refused)
	}
	for id := range ids {
		name, err := BatchName(id)
		if _, exists := m.stored[name]; err != nil || !exists {
			return fmt.Errorf("record %s is not found by its id", id)
		}
	}
	return nil
}

// drainTime is long enough to write all records kept in an outage, one batch at a time.
const drainTime = 20 * time.Second

// Guards against refusal records that are lost or counted twice after outages and lost responses, that exceed the memory
// bound while the store is down, or of which a kill loses more than the last flush interval and write.
func TestRecordsSurvive(t *testing.T) {
	schedule.Check(t, 300, func(draw schedule.Draw) error { return newModel(draw, false).run(80) })
}

// Guards against a property that holds for any implementation: the check must fail for a recorder without a flush interval.
func TestVariantsAreCaught(t *testing.T) {
	schedule.RequireFailures(t, 2000, map[string]func(schedule.Draw) error{
		"no flush by time": func(draw schedule.Draw) error { return newModel(draw, true).run(80) },
	})
}

// Guards against an outage after which dropped records are not counted.
func TestOutageFoldsOldestRecords(t *testing.T) {
	r := New(DefaultSettings(holder), start)
	const refusals = 60000
	var actions []Action
	for n := range refusals {
		// The first write is in progress for the whole outage, so no other is started.
		_, more := r.Add(refusalOf(n, start), start)
		actions = append(actions, more...)
	}
	kept := r.Pending()
	records, merged, largest := 0, 0, 0
	r.Close(start)
	for len(actions) > 0 {
		w := actions[0].(WriteBatch)
		var b Batch
		if err := json.Unmarshal(w.Value, &b); err != nil {
			t.Fatal(err)
		}
		largest = max(largest, len(w.Value))
		for _, record := range b.Records {
			records++
			merged += record.MergedCount
			if record.MergedCount > 0 {
				records--
			}
		}
		actions = r.Finish(w.Number, true, start)
	}
	convey.Convey("at most 8 MB are kept and every refusal is counted", t, func() {
		convey.So(kept, convey.ShouldBeLessThanOrEqualTo, 8<<20)
		convey.So(merged, convey.ShouldBeGreaterThan, 0)
		convey.So(records+merged, convey.ShouldEqual, refusals)
		convey.So(largest, convey.ShouldBeLessThan, valueLimit)
		convey.So(r.Pending(), convey.ShouldEqual, 0)
	})
}

// Guards against a lookup that returns refusals of other customers or omits matching ones.
func TestFilter(t *testing.T) {
	batch := Batch{}
	for n := range 30 {
		batch.Records = append(batch.Records, refusalOf(n, start.Add(time.Duration(n)*time.Second)))
	}
	for _, c := range []struct {
		name   string
		filter Filter
		want   int
	}{
		{"all", Filter{}, 30},
		{"customer", Filter{Customer: "customer-1"}, 6},
		{"since", Filter{Since: start.Add(20 * time.Second)}, 10},
		{"reason", Filter{Reason: refuser.Reasons()[0]}, 10},
		{"all three", Filter{Customer: "customer-0", Since: start.Add(10 * time.Second), Reason: refuser.Reasons()[0]}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			convey.Convey(c.name, t, func() {
				convey.So(c.filter.Select(batch), convey.ShouldHaveLength, c.want)
			})
		})
	}
	_, err := BatchName(strings.Repeat("x", 5))
	convey.Convey("an id of another format is an error", t, func() {
		convey.So(err, convey.ShouldHaveSameTypeAs, &IDError{})
	})
}

// BenchmarkRecordBytes measures the stored size of one refusal record and the time to add it.
func BenchmarkRecordBytes(b *testing.B) {
	r := New(DefaultSettings(holder), start)
	bytes := 0
	b.ReportAllocs()
	for n := range b.N {
		before := r.open.bytes
		_, actions := r.Add(refusalOf(n, start), start)
		bytes = max(bytes, r.open.bytes-before)
		for _, a := range actions {
			r.Finish(a.(WriteBatch).Number, true, start)
		}
	}
	b.ReportMetric(float64(bytes), "bytes")
}
