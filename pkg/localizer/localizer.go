package localizer

import (
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Settings say what leaving a data centre costs, and from when on it counts as short of targets.
type Settings struct {
	// PerRequest and PerMegabyte are how much later an answer may begin to keep a request, or a million bytes of it, inside its data
	// centre. With both at 0 nothing is kept.
	PerRequest  time.Duration
	PerMegabyte time.Duration
	// Comfort is the share of the target latency within which an answer that begins is on time wherever it comes from; the rest is
	// left for errors of the prediction.
	Comfort float64
	// CalmPressure is the prefill demand, as a share of the engines' capacity, from which an answer that is on time at home isn't enough to
	// stay: streams that gather on the engines of one data centre leave fewer engines for the long prompts of all.
	CalmPressure float64
	// CalmAfter is how long no data centre must have been short, or lost, for the same.
	CalmAfter time.Duration
	// ShortSlots is the share of free slots below which a data centre is short, and CalmSlots the one from which it no longer is.
	ShortSlots float64
	CalmSlots  float64
	// ShortBacklog is the mean prefill time queued on each engine above which a data centre is short; it is no longer short below
	// half of that.
	ShortBacklog time.Duration
	// Hold is how long a data centre stays short at least, so that work doesn't swing between data centres.
	Hold time.Duration
}

// DefaultSettings returns the settings of an instance whose operators pay for traffic between data centres.
func DefaultSettings() Settings {
	return Settings{
		PerRequest:   20 * time.Millisecond,
		PerMegabyte:  200 * time.Millisecond,
		Comfort:      0.5,
		CalmPressure: 0.2,
		CalmAfter:    5 * time.Second,
		ShortSlots:   0.25,
		CalmSlots:    0.35,
		// A short prompt behind this backlog would miss the target latencies of interactive callers.
		ShortBacklog: 250 * time.Millisecond,
		Hold:         time.Second,
	}
}

// Enabled reports whether work is kept in its data centre at all.
func (s Settings) Enabled() bool {
	return s.PerRequest > 0 || s.PerMegabyte > 0
}

// Load is the work on the usable engines of a data centre.
type Load struct {
	Engines   int
	Slots     int
	FreeSlots int
	// Backlog is the prefill time queued on all engines together.
	Backlog time.Duration
}

// Reason is why a request leaves its data centre.
type Reason string

// Reasons for leaving; Stays means that the request doesn't leave.
const (
	Stays Reason = ""
	// NoEngine means that the data centre has no engines that could take the request, as when it is evacuated.
	NoEngine Reason = "no_engine"
	// Short means that the data centre is short of free engines.
	Short Reason = "short"
	// Late means that the answer would begin later at home by more than leaving costs.
	Late Reason = "late"
	// Loss means that other requests would lose more value at home.
	Loss Reason = "loss"
)

// Way is a possible placement of a request.
type Way struct {
	// First is the predicted time from the arrival of the request to the first event.
	First time.Duration
	// Interference is what the placement costs other prompts, as a time.
	Interference time.Duration
	// Lost is the value that other requests lose.
	Lost float64
}

// Work is what a request has to move, and how soon its answer must begin.
type Work struct {
	Bytes         int
	TargetLatency time.Duration
	// Pressure is the prefill demand as a share of the engines' capacity.
	Pressure float64
	// RoundTrip is the network time to the other data centre and back.
	RoundTrip time.Duration
}

// state is whether a data centre is short, and since when.
type state struct {
	short bool
	since time.Time
}

// Localizer tracks which data centres are short of engines. It has no clock; callers pass the current time.
type Localizer struct {
	settings Settings
	states   map[namer.DataCentre]state
	// unrest is when a data centre was last short, or lost its last engine.
	unrest time.Time
}

// New returns a localizer that knows no data centre.
func New(s Settings) *Localizer {
	return &Localizer{
		settings: s,
		states:   map[namer.DataCentre]state{},
	}
}

// Enabled reports whether work is kept in its data centre at all.
func (l *Localizer) Enabled() bool {
	return l.settings.Enabled()
}

// Observe updates which data centres are short, and returns those for which that has changed. A data centre without usable engines is
// not listed; it counts as short.
func (l *Localizer) Observe(now time.Time, loads map[namer.DataCentre]Load) []namer.DataCentre {
	var changed []namer.DataCentre
	for d := range l.states {
		if _, listed := loads[d]; !listed {
			delete(l.states, d)
			l.unrest = now
			changed = append(changed, d)
		}
	}
	for d, load := range loads {
		known, found := l.states[d]
		next := l.next(now, known, load)
		l.states[d] = next
		if next.short {
			l.unrest = now
		}
		if !found || next.short != known.short {
			changed = append(changed, d)
		}
	}
	return changed
}

func (l *Localizer) next(now time.Time, known state, load Load) state {
	free := float64(load.FreeSlots) / float64(max(1, load.Slots))
	backlog := load.Backlog / time.Duration(max(1, load.Engines))
	short := free < l.settings.ShortSlots || backlog > l.settings.ShortBacklog
	if known.short {
		calm := free >= l.settings.CalmSlots && backlog < l.settings.ShortBacklog/2
		short = !calm || now.Sub(known.since) < l.settings.Hold
	}
	if short && !known.short {
		known.since = now
	}
	known.short = short
	return known
}

// Short reports whether a data centre has too few free engines, or none.
func (l *Localizer) Short(d namer.DataCentre) bool {
	known, found := l.states[d]
	return !found || known.short
}

// Shortages returns the data centres with engines that are short, in order.
func (l *Localizer) Shortages() []namer.DataCentre {
	var short []namer.DataCentre
	for d, known := range l.states {
		if known.short {
			short = append(short, d)
		}
	}
	slices.Sort(short)
	return short
}

// Suffices reports whether a placement at home needs no comparison with others: all data centres have had room for a while, and it begins
// well within the target latency and costs no other request anything.
func (l *Localizer) Suffices(now time.Time, home Way, w Work) bool {
	calm := l.unrest.IsZero() || now.Sub(l.unrest) >= l.settings.CalmAfter
	return calm && home.Lost == 0 && w.Pressure < l.settings.CalmPressure && home.First <= time.Duration(l.settings.Comfort*float64(w.TargetLatency))
}

// Compare returns why a request leaves its data centre for the best placement anywhere; nil means that there is no placement at home.
func (l *Localizer) Compare(now time.Time, d namer.DataCentre, home *Way, best Way, w Work) Reason {
	switch {
	case home == nil && l.known(d) && l.Short(d):
		return Short
	case home == nil:
		return NoEngine
	case home.Lost > best.Lost:
		return Loss
	case l.Suffices(now, *home, w):
		return Stays
	case home.First+home.Interference-best.First-best.Interference <= l.price(w):
		return Stays
	case l.Short(d):
		return Short
	default:
		return Late
	}
}

func (l *Localizer) known(d namer.DataCentre) bool {
	_, found := l.states[d]
	return found
}

// price returns how much later an answer may begin at home.
func (l *Localizer) price(w Work) time.Duration {
	return l.settings.PerRequest + time.Duration(float64(l.settings.PerMegabyte)*float64(w.Bytes)/megabyte) + w.RoundTrip
}

const megabyte = 1e6
