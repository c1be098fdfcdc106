package tallier

import (
	"encoding/json"
	"maps"
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

const window = 5 * time.Second

var start = time.Unix(1_800_000_000, 0)

func settings() Settings {
	return SettingsFor(window, 2*window)
}

func known(whole bool) func(int64) bool {
	return func(int64) bool { return whole }
}

// store takes the state through its encoding, as the record in the store does.
func store(t *testing.T, s State) State {
	t.Helper()
	encoded, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	var stored State
	if err := json.Unmarshal(encoded, &stored); err != nil {
		t.Fatal(err)
	}
	return stored
}

// seal stores the state of a holder and returns it.
func seal(t *testing.T, l *Tallier, now time.Time, whole bool) State {
	t.Helper()
	s := store(t, l.Propose(now, known(whole)))
	l.Adopt(s)
	return s
}

func count(l *Tallier, at time.Duration, customer namer.Customer, n int) {
	for range n {
		l.Count(start.Add(at), customer)
	}
}

func checkReport(t *testing.T, l *Tallier, expected Counts) {
	t.Helper()
	r, found := l.Report()
	if !found {
		t.Fatalf("no report, expected %v", expected)
	}
	if !maps.Equal(r.Counts, expected) {
		t.Errorf("report %v, expected %v", r.Counts, expected)
	}
}

func checkNoReport(t *testing.T, l *Tallier) {
	t.Helper()
	if r, found := l.Report(); found {
		t.Errorf("report of window %d, expected none", r.Window)
	}
}

func checkLate(t *testing.T, l *Tallier, expected int) {
	t.Helper()
	if l.Late() != expected {
		t.Errorf("%d late requests, expected %d", l.Late(), expected)
	}
}

// Guards against reports that miss requests of a killed instance, count them twice, differ between holders or come too early.
func TestReports(t *testing.T) {
	t.Run("counts of all instances, each once", func(t *testing.T) {
		leader, follower := New(settings(), "a"), New(settings(), "b")
		count(leader, 0, "x", 2)
		count(follower, 1, "x", 3)
		leader.Merge(follower.Unsent())
		leader.Merge(follower.Known())
		seal(t, leader, start.Add(window+time.Second), true)
		checkReport(t, leader, Counts{"x": 5})
	})
	t.Run("a window that isn't known whole waits, but not beyond its time", func(t *testing.T) {
		l := New(settings(), "a")
		count(l, 0, "x", 1)
		seal(t, l, start.Add(window+2*time.Second), false)
		checkNoReport(t, l)
		seal(t, l, start.Add(window+settings().Latest), false)
		checkReport(t, l, Counts{"x": 1})
	})
	t.Run("a new holder sends what was stored, not what it has heard since", func(t *testing.T) {
		former, next, killed := New(settings(), "a"), New(settings(), "b"), New(settings(), "c")
		count(killed, 0, "x", 4)
		former.Merge(killed.Unsent())
		stored := seal(t, former, start.Add(window+time.Second), true)
		count(next, 0, "x", 1)
		next.Adopt(stored)
		checkReport(t, next, Counts{"x": 4})
		next.Merge(former.Known())
		checkLate(t, next, 0)
		count(killed, 1, "x", 2)
		former.Merge(killed.Known())
		checkLate(t, former, 2)
	})
	t.Run("a new holder in the middle of a window keeps the counts of the former and of killed ones", func(t *testing.T) {
		former, next, killed := New(settings(), "a"), New(settings(), "b"), New(settings(), "c")
		count(killed, 0, "x", 4)
		count(former, 1, "y", 1)
		former.Merge(killed.Unsent())
		stored := seal(t, former, start.Add(time.Second), true)
		next.Adopt(stored)
		count(next, 2*time.Second, "x", 2)
		seal(t, next, start.Add(window+time.Second), true)
		checkReport(t, next, Counts{"x": 6, "y": 1})
	})
	t.Run("a count that wasn't stored is no report", func(t *testing.T) {
		l := New(settings(), "a")
		count(l, 0, "x", 1)
		open := seal(t, l, start.Add(time.Second), true)
		l.Propose(start.Add(window+time.Second), known(true))
		checkNoReport(t, l)
		l.Adopt(open)
		checkNoReport(t, l)
		count(l, 1, "x", 1)
		seal(t, l, start.Add(window+2*time.Second), true)
		checkReport(t, l, Counts{"x": 2})
	})
	t.Run("what is sent doesn't change while it is encoded", func(t *testing.T) {
		l := New(settings(), "a")
		count(l, 0, "x", 1)
		sent, stored := l.Known(), l.Propose(start, known(true))
		count(l, 0, "x", 1)
		for _, tally := range []Tally{sent, stored.Open} {
			if n := tally[l.window(start)]["a"]["x"]; n != 1 {
				t.Errorf("%d requests, expected 1", n)
			}
		}
	})
	t.Run("a confirmed report is not sent again", func(t *testing.T) {
		l := New(settings(), "a")
		count(l, 0, "x", 1)
		seal(t, l, start.Add(window+time.Second), true)
		r, _ := l.Report()
		l.Sent(r.Window)
		checkNoReport(t, l)
		if s := seal(t, l, start.Add(window+2*time.Second), true); len(s.Reports) != 0 {
			t.Errorf("stored reports %v, expected none", s.Reports)
		}
	})
}

// Guards against counts in a wrong window when the time of day jumps by seconds, and against a clock that never follows it.
func TestClockJump(t *testing.T) {
	var c Clock
	c.Read(0, start)
	for _, test := range []struct {
		name      string
		timeOfDay time.Duration
		expected  time.Duration
	}{
		{name: "forward", timeOfDay: 8 * time.Second, expected: time.Second},
		{name: "backward", timeOfDay: -4 * time.Second, expected: time.Second},
		{name: "back again", timeOfDay: time.Second, expected: time.Second},
		{name: "adjusted", timeOfDay: time.Second + 20*time.Millisecond, expected: time.Second + 20*time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			if now := c.Read(time.Second, start.Add(test.timeOfDay)); !now.Equal(start.Add(test.expected)) {
				t.Errorf("time %v after the start, expected %v", now.Sub(start), test.expected)
			}
		})
	}
}

// Guards against counts in wrong windows for as long as a process runs that has started while its time of day was off, and against a clock
// that follows a single one, or messages that came late.
func TestClockIsSetToMost(t *testing.T) {
	for _, test := range []struct {
		name     string
		others   []time.Duration
		lasts    time.Duration
		expected time.Duration
	}{
		{name: "most others agree", others: []time.Duration{4 * time.Second, 4 * time.Second, 0}, lasts: 4 * time.Second},
		{name: "most others are off", others: []time.Duration{4 * time.Second, 4 * time.Second}, lasts: 4 * time.Second, expected: 4 * time.Second},
		{name: "one other", others: []time.Duration{4 * time.Second}, lasts: 4 * time.Second},
		{name: "late messages", others: []time.Duration{-7 * time.Second, -7 * time.Second}, lasts: time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			var c Clock
			c.Read(0, start)
			shift := time.Duration(0)
			for at := time.Duration(0); at <= test.lasts; at += time.Second / 2 {
				shift += c.Compare(at, test.others)
				if shift != 0 {
					break
				}
			}
			if shift != test.expected {
				t.Errorf("clock set by %v, expected %v", shift, test.expected)
			}
			if now := c.Read(time.Second, start.Add(time.Second)); !now.Equal(start.Add(time.Second + test.expected)) {
				t.Errorf("time %v after the start", now.Sub(start))
			}
		})
	}
}

// Guards against a window that is reported with two contents after the store was restored from a copy that lacks its final count.
func TestRestoredStateOpensNoWindowAgain(t *testing.T) {
	holder, follower := New(settings(), "a"), New(settings(), "b")
	count(holder, time.Second, "crew", 3)
	old := seal(t, holder, start, true)
	seal(t, holder, start.Add(2*window), true)
	checkReport(t, holder, Counts{"crew": 3})
	follower.Merge(Tally{holder.window(start): {"c": {"crew": 1}}})
	follower.Skip(holder.Next())
	for _, l := range []*Tallier{holder, follower} {
		next := l.Next()
		l.Adopt(old)
		if l.Next() != next {
			t.Errorf("window %d is open again, the first open one was %d", l.Next(), next)
		}
	}
	checkReport(t, holder, Counts{"crew": 3})
	for _, r := range follower.Propose(start.Add(2*window), known(true)).Reports {
		if r.Window < holder.Next() {
			t.Errorf("window %d is reported again", r.Window)
		}
	}
}
