package tallier

import (
	"maps"
	"math"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Settings are the times of the windows.
type Settings struct {
	// Window is the length of a window; window k begins k lengths after the start of 1970.
	Window time.Duration
	// Settle is how long after its end the count of a window is final if all instances have been heard since, and Latest how long if not.
	Settle time.Duration
	Latest time.Duration
}

// SettingsFor returns the settings for reports that are due at a delay after the end of their window.
func SettingsFor(window, delay time.Duration) Settings {
	return Settings{
		Window: window,
		Settle: min(300*time.Millisecond, delay/10),
		// The rest is for another holder to take over and send the report.
		Latest: delay / 2,
	}
}

const (
	// keptWindows is how many windows are kept at least.
	keptWindows = 64
	// maxReports is how many reports wait to be sent at most before further windows are closed.
	maxReports = 16
)

// Counts are the requests of customers.
type Counts map[namer.Customer]int

// Tally holds counts by window and process.
type Tally map[int64]map[string]Counts

// raise sets a count to at least n and reports whether that changed it. Counts of a process only grow.
func (t Tally) raise(window int64, process string, customer namer.Customer, n int) bool {
	if t[window] == nil {
		t[window] = map[string]Counts{}
	}
	if t[window][process] == nil {
		t[window][process] = Counts{}
	}
	if t[window][process][customer] >= n {
		return false
	}
	t[window][process][customer] = n
	return true
}

// Report is the final count of a window.
type Report struct {
	Window int64  `json:"window"`
	Counts Counts `json:"counts"`
}

// State is what must outlive the process that holds the duty.
type State struct {
	// Next is the first window that has no final count; 0 means none yet.
	Next int64 `json:"next"`
	// Open holds the counts of windows from Next on.
	Open Tally `json:"open"`
	// Reports are final, and not known to be sent.
	Reports []Report `json:"reports"`
}

// Tallier holds the counts that a process knows. Times given to it are true times.
type Tallier struct {
	settings Settings
	self     string
	tally    Tally
	unsent   Tally
	next     int64
	reports  []Report
	// done are windows whose report was sent since the state was last stored.
	done map[int64]bool
	// closed are the windows whose final count this process has proposed.
	closed map[int64]bool
	// late counts requests that were heard of after the count of their window was final.
	late int
}

// New returns a tallier without counts. The name of the process must differ from those of all others.
func New(settings Settings, self string) *Tallier {
	return &Tallier{
		settings: settings,
		self:     self,
		tally:    Tally{},
		unsent:   Tally{},
		done:     map[int64]bool{},
		closed:   map[int64]bool{},
	}
}

// window returns the number of the window of a time.
func (t *Tallier) window(now time.Time) int64 {
	return now.UnixNano() / int64(t.settings.Window)
}

// FirstOpen returns the first window that no process has closed at a time, also if its clock is ahead.
func (t *Tallier) FirstOpen(now time.Time) int64 {
	return t.window(now.Add(maxDifference - t.settings.Settle))
}

// End returns when a window ends.
func (t *Tallier) End(window int64) time.Time {
	return time.Unix(0, (window+1)*int64(t.settings.Window))
}

// Count counts a request of this process.
func (t *Tallier) Count(now time.Time, customer namer.Customer) {
	w := t.window(now)
	n := t.tally[w][t.self][customer] + 1
	t.tally.raise(w, t.self, customer, n)
	t.unsent.raise(w, t.self, customer, n)
	t.forget(w)
}

// forget drops windows of long ago.
func (t *Tallier) forget(current int64) {
	for w := range t.tally {
		if w < current-keptWindows {
			delete(t.tally, w)
			delete(t.closed, w)
		}
	}
}

// Unsent returns the counts of this process that have changed since it was last called, nil if there are none.
func (t *Tallier) Unsent() Tally {
	if len(t.unsent) == 0 {
		return nil
	}
	unsent := t.unsent
	t.unsent = Tally{}
	return unsent
}

// Known returns a copy of all counts, for a new leader.
func (t *Tallier) Known() Tally {
	t.unsent = Tally{}
	return t.from(math.MinInt64)
}

// from returns a copy of the counts of all windows from the first on.
func (t *Tallier) from(first int64) Tally {
	tally := Tally{}
	for w, processes := range t.tally {
		if w < first {
			continue
		}
		tally[w] = map[string]Counts{}
		for process, counts := range processes {
			tally[w][process] = maps.Clone(counts)
		}
	}
	return tally
}

// Merge takes over counts that another process knows.
func (t *Tallier) Merge(other Tally) {
	for w, processes := range other {
		for process, counts := range processes {
			for customer, n := range counts {
				before := t.tally[w][process][customer]
				if t.tally.raise(w, process, customer, n) && w < t.next && t.closed[w] {
					t.late += n - before
				}
			}
		}
	}
}

// Late returns how many requests were heard of after the count of their window was final, of the windows that this process has closed: of
// others it can't tell.
func (t *Tallier) Late() int {
	return t.late
}

// Due reports whether a window waits for its final count. The function whole tells whether all counts of a window are known.
func (t *Tallier) Due(now time.Time, whole func(window int64) bool) bool {
	return t.next != 0 && len(t.reports) < maxReports && t.final(now, t.next, whole)
}

func (t *Tallier) final(now time.Time, window int64, whole func(window int64) bool) bool {
	since := now.Sub(t.End(window))
	return since >= t.settings.Latest || since >= t.settings.Settle && whole(window)
}

// Propose returns the state to store. Its reports may be sent once it is stored, and Adopt must be called then.
func (t *Tallier) Propose(now time.Time, whole func(window int64) bool) State {
	current := t.window(now)
	t.forget(current)
	s := State{
		Next: t.next,
	}
	earliest := current
	if known := slices.Sorted(maps.Keys(t.tally)); len(known) > 0 {
		earliest = min(earliest, known[0])
	}
	if s.Next == 0 {
		s.Next = earliest
	}
	// After a long time without any process, there is nothing to report of the windows in between.
	s.Next = max(s.Next, min(earliest, current-keptWindows))
	for _, r := range t.reports {
		if !t.done[r.Window] {
			s.Reports = append(s.Reports, r)
		}
	}
	for len(s.Reports) < maxReports && t.final(now, s.Next, whole) {
		s.Reports = append(s.Reports, Report{
			Window: s.Next,
			Counts: t.total(s.Next),
		})
		t.closed[s.Next] = true
		s.Next++
	}
	s.Open = t.from(s.Next)
	return s
}

// total returns the counts of a window over all processes.
func (t *Tallier) total(window int64) Counts {
	sum := Counts{}
	for _, counts := range t.tally[window] {
		for customer, n := range counts {
			sum[customer] += n
		}
	}
	return sum
}

// Adopt takes over the state that is stored. It replaces what wasn't stored. A state that lacks final counts that this process knows of is
// one of a store that was restored from a copy; only its open counts are taken over.
func (t *Tallier) Adopt(s State) {
	if s.Next < t.next {
		t.Merge(s.Open)
		return
	}
	t.next = s.Next
	t.reports = s.Reports
	maps.DeleteFunc(t.done, func(w int64, _ bool) bool {
		return !slices.ContainsFunc(s.Reports, func(r Report) bool { return r.Window == w })
	})
	t.Merge(s.Open)
}

// Next returns the first window that has no final count, 0 if none is known.
func (t *Tallier) Next() int64 {
	return t.next
}

// Skip records that the counts of all windows before next are final, or may be, so that this process never determines them again.
func (t *Tallier) Skip(next int64) {
	t.next = max(t.next, next)
}

// Report returns the first stored report that isn't known to be sent.
func (t *Tallier) Report() (Report, bool) {
	for _, r := range t.reports {
		if !t.done[r.Window] {
			return r, true
		}
	}
	return Report{}, false
}

// Sent records that the platform has confirmed the report of a window.
func (t *Tallier) Sent(window int64) {
	t.done[window] = true
}
