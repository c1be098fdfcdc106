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
	// writeTime is the longest time of one write in the model.
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

// model is a recorder over a store that is down or loses answers at times.
type model struct {
	*Recorder
	draw schedule.Draw
	now  time.Time
	down bool
	// repaired ends all faults.
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

// run plays a schedule that ends with a kill.
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
			m.pass(time.Duration(1+m.draw("pass", 20)) * 100 * time.Millisecond)
		case 7:
			m.down = !m.down
		}
		if m.Pending() > m.settings.MemoryBytes+m.settings.FlushBytes*2 {
			return fmt.Errorf("%d bytes are kept in memory", m.Pending())
		}
	}
	m.repaired = true
	m.down = false
	m.pass(drainTime)
	if total, _ := m.count(); total != refused {
		return fmt.Errorf("%d refusals are stored of %d after the store was up for %v", total, refused, drainTime)
	}
	for range 50 {
		refused++
		m.refuse(refused)
		m.pass(100 * time.Millisecond)
	}
	return m.checkKill(refused)
}

func (m *model) refuse(n int) {
	id, actions := m.Add(refusalOf(n, m.now), m.now)
	m.added[id] = m.now
	m.do(actions)
}

func (m *model) pass(d time.Duration) {
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

// finish ends the open write: stored, stored with its answer lost, or not stored.
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

// store creates the object; one that exists stays as it is.
func (m *model) store(w WriteBatch) {
	if _, exists := m.stored[w.Name]; exists || len(w.Value) > valueLimit {
		return
	}
	var b Batch
	if json.Unmarshal(w.Value, &b) == nil {
		m.stored[w.Name] = b
	}
}

// count returns the refusals that are stored, singly or in counts, and the ids of the single records.
func (m *model) count() (int, map[string]bool) {
	total := 0
	ids := map[string]bool{}
	for _, b := range m.stored {
		for _, r := range b.Records {
			total += max(1, r.Folded)
			ids[r.ID] = true
		}
	}
	return total, ids
}

// checkKill kills the process: only records of the last flush interval and write may be missing.
func (m *model) checkKill(refused int) error {
	total, ids := m.count()
	young := 0
	for id, at := range m.added {
		if !ids[id] && m.now.Sub(at) <= m.settings.FlushInterval+writeTime {
			young++
		}
	}
	if total+young != refused {
		return fmt.Errorf("%d refusals are stored and %d are younger than a flush, of %d", total, young, refused)
	}
	for id := range ids {
		name, err := BatchName(id)
		if _, exists := m.stored[name]; err != nil || !exists {
			return fmt.Errorf("record %s is not found by its id", id)
		}
	}
	return nil
}

// drainTime is enough to write all that was kept in an outage, one batch at a time.
const drainTime = 20 * time.Second

// Guards against refusal records that are lost or counted twice after outages and lost answers, that fill memory while
// the store is down, or of which a kill loses more than one flush interval.
func TestRecordsSurvive(t *testing.T) {
	schedule.Check(t, 300, func(draw schedule.Draw) error { return newModel(draw, false).run(80) })
}

// Guards against a property that holds for a recorder that does not flush by time.
func TestVariantsAreCaught(t *testing.T) {
	schedule.Caught(t, 2000, map[string]func(schedule.Draw) error{
		"no flush by time": func(draw schedule.Draw) error { return newModel(draw, true).run(80) },
	})
}

// Guards against an outage after which dropped records leave no trace.
func TestOutageFoldsOldestRecords(t *testing.T) {
	r := New(DefaultSettings(holder), start)
	const refusals = 60000
	var actions []Action
	for n := range refusals {
		// The first write stays open for the whole outage, so no other follows it.
		_, more := r.Add(refusalOf(n, start), start)
		actions = append(actions, more...)
	}
	kept := r.Pending()
	records, folded, largest := 0, 0, 0
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
			folded += record.Folded
			if record.Folded > 0 {
				records--
			}
		}
		actions = r.Finish(w.Number, true, start)
	}
	convey.Convey("8 MB are kept and every refusal is counted", t, func() {
		convey.So(kept, convey.ShouldBeLessThanOrEqualTo, 8<<20)
		convey.So(folded, convey.ShouldBeGreaterThan, 0)
		convey.So(records+folded, convey.ShouldEqual, refusals)
		convey.So(largest, convey.ShouldBeLessThan, valueLimit)
		convey.So(r.Pending(), convey.ShouldEqual, 0)
	})
}

// Guards against a lookup that shows other customers' refusals or leaves out matching ones.
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
	convey.Convey("an id of another form is an error", t, func() {
		convey.So(err, convey.ShouldHaveSameTypeAs, &IDError{})
	})
}

// BenchmarkRecordBytes measures one refusal record as stored and the time to take it.
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
