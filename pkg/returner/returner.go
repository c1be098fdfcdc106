package returner

import (
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Settings are the parameters of a returner.
type Settings struct {
	// Share is the share of the engines' time that returning requests get; the rest is for new ones.
	Share float64
	// Burst is the time of each engine that returns may take at once after a calm period.
	Burst time.Duration
	// Horizon is how far ahead returns are planned.
	Horizon time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Share:   0.3,
		Burst:   10 * time.Millisecond,
		Horizon: 10 * time.Second,
	}
}

// Return is a request that has come back, or is to come back.
type Return struct {
	ID namer.Request
	// Priority is the rank of the request; 0 is the most important.
	Priority int
	// Work is the time that an engine takes to read the prompt.
	Work    time.Duration
	Arrived time.Time
	// Latest is when the request is let through, whatever the load.
	Latest time.Time
}

// Returner holds the returned requests of a scheduler and the plan of those to come.
type Returner struct {
	settings Settings
	held     []Return
	// credit is the engine time that returns may take now, as of creditAt.
	credit   time.Duration
	creditAt time.Time
	// booked is the work planned for each slot of slotTime, by the number of the slot since the zero time.
	booked map[int64]time.Duration
}

// slotTime is the length of a slot of the plan.
const slotTime = 100 * time.Millisecond

// New returns a returner that holds and plans nothing.
func New(s Settings) *Returner {
	return &Returner{
		settings: s,
		booked:   map[int64]time.Duration{},
	}
}

// Add holds a returned request until Release lets it through.
func (r *Returner) Add(n Return) {
	order := func(a, b Return) int {
		if a.Priority != b.Priority {
			return a.Priority - b.Priority
		}
		return a.Arrived.Compare(b.Arrived)
	}
	i, _ := slices.BinarySearchFunc(r.held, n, order)
	r.held = slices.Insert(r.held, i, n)
}

// Remove forgets a held request and reports whether there was one.
func (r *Returner) Remove(id namer.Request) bool {
	i := slices.IndexFunc(r.held, func(n Return) bool { return n.ID == id })
	if i < 0 {
		return false
	}
	r.held = slices.Delete(r.held, i, i+1)
	return true
}

// Held returns the number of held requests.
func (r *Returner) Held() int {
	return len(r.held)
}

// Release returns the requests that may be placed now: those whose time has come, and of the others those of the highest rank for which
// the engines have room.
func (r *Returner) Release(now time.Time, engines int) []namer.Request {
	most := time.Duration(engines) * r.settings.Burst
	r.earn(now, engines, most)
	var released []namer.Request
	r.held = slices.DeleteFunc(r.held, func(n Return) bool {
		// The longest prompts need more than the credit ever is: they go when nothing else has used it.
		cost := min(n.Work, most)
		switch {
		case cost <= r.credit:
			r.credit -= cost
		case now.Before(n.Latest):
			return false
		}
		released = append(released, n.ID)
		return true
	})
	return released
}

// earn adds the engine time that returns may take since the last call, up to the most that may be saved.
func (r *Returner) earn(now time.Time, engines int, most time.Duration) {
	if r.creditAt.IsZero() {
		r.credit = most
	} else {
		r.credit += r.capacity(now.Sub(r.creditAt), engines)
	}
	r.credit = min(r.credit, most)
	r.creditAt = now
}

// capacity returns the engine time that returns may take in a period.
func (r *Returner) capacity(period time.Duration, engines int) time.Duration {
	return time.Duration(r.settings.Share * float64(engines) * float64(period))
}

// Plan books the return of a refused request and returns the delay until then: the earliest one at which the engines have room, or the
// latest one. Without engines, it returns the earliest one.
func (r *Returner) Plan(now time.Time, n Return, engines int, earliest, latest time.Duration) time.Duration {
	latest = min(latest, r.settings.Horizon)
	if engines == 0 || latest <= earliest {
		return earliest
	}
	r.forget(now)
	room := r.capacity(slotTime, engines)
	if n.Priority > 0 {
		room = time.Duration(lowerRankShare * float64(room))
	}
	first, last := slot(now.Add(earliest)), slot(now.Add(latest))
	best := first
	for i := first; i <= last; i++ {
		if r.booked[i] < room {
			best = i
			break
		}
		if r.booked[i] < r.booked[best] {
			best = i
		}
	}
	r.booked[best] += n.Work
	// Returns of one slot are spread over it by what is booked there.
	offset := time.Duration(float64(slotTime) * min(1, float64(r.booked[best])/float64(room)))
	return min(latest, max(earliest, time.Duration(best)*slotTime+offset-time.Duration(now.UnixNano())))
}

// lowerRankShare is the share of a slot that requests below the highest rank may book, so that one of the highest rank finds room.
const lowerRankShare = 0.7

// forget drops the bookings of past slots.
func (r *Returner) forget(now time.Time) {
	present := slot(now)
	for i := range r.booked {
		if i < present {
			delete(r.booked, i)
		}
	}
}

func slot(at time.Time) int64 {
	return at.UnixNano() / int64(slotTime)
}
