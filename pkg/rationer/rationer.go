package rationer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// smallBytes is the size up to which bodies may take the whole budget for bodies that are being read; larger ones leave
	// smallShare of it, so that a few large bodies don't shut out the many small ones.
	smallBytes = 64 << 10
	smallShare = 4
)

// Settings bound the bytes of bodies, and say when a body that isn't complete may be given up for another.
type Settings struct {
	// Reading bounds the bytes of bodies that are not complete.
	Reading int64
	// Total bounds the bytes of all bodies, until their requests have ended.
	Total int64
	// Stall is the time without a byte, and Grace the age, from which a body that isn't complete may be given up.
	Stall time.Duration
	Grace time.Duration
}

// Body is a body that is read or kept.
type Body struct {
	bytes    int64
	began    time.Time
	advanced time.Time
	complete bool
	// evict ends the reading.
	evict   func()
	evicted bool
}

// Rationer holds the bodies of a process. It isn't safe for concurrent use.
type Rationer struct {
	settings Settings
	bodies   map[*Body]struct{}
	reading  int64
	total    int64
}

// New returns a rationer without bodies.
func New(s Settings) *Rationer {
	return &Rationer{
		settings: s,
		bodies:   map[*Body]struct{}{},
	}
}

// Open adds a body; evict is called when it is given up.
func (r *Rationer) Open(now time.Time, evict func()) *Body {
	b := &Body{
		began:    now,
		advanced: now,
		evict:    evict,
	}
	r.bodies[b] = struct{}{}
	return b
}

// Advance records that bytes of a body have arrived.
func (r *Rationer) Advance(now time.Time, b *Body) {
	b.advanced = now
}

// Resize sets how many bytes a body takes. It reports false if they don't fit although bodies that may be given up have been; a body that
// is the only one always fits.
func (r *Rationer) Resize(now time.Time, b *Body, bytes int64) bool {
	if b.evicted {
		return false
	}
	more := bytes - b.bytes
	if more > 0 && !r.fits(b, bytes) && !r.makeRoom(now, b, bytes) {
		return false
	}
	b.bytes = bytes
	r.total += more
	if !b.complete {
		r.reading += more
	}
	return true
}

// Complete records that a body has been read; from then on it isn't given up.
func (r *Rationer) Complete(b *Body) {
	if b.complete || b.evicted {
		return
	}
	b.complete = true
	r.reading -= b.bytes
}

// Close removes a body.
func (r *Rationer) Close(b *Body) {
	if _, held := r.bodies[b]; !held {
		return
	}
	delete(r.bodies, b)
	r.total -= b.bytes
	if !b.complete {
		r.reading -= b.bytes
	}
}

// Reading returns the bytes of bodies that aren't complete, and Total those of all.
func (r *Rationer) Reading() int64 { return r.reading }

// Total returns the bytes of all bodies.
func (r *Rationer) Total() int64 { return r.total }

func (r *Rationer) fits(b *Body, bytes int64) bool {
	if r.total == b.bytes {
		return true
	}
	limit := r.settings.Reading
	if bytes > smallBytes {
		limit -= limit / smallShare
	}
	more := bytes - b.bytes
	return r.reading+more <= limit && r.total+more <= r.settings.Total
}

// makeRoom gives up bodies until the given one fits: first those that haven't advanced for the longest time, then the oldest.
func (r *Rationer) makeRoom(now time.Time, b *Body, bytes int64) bool {
	var stalled, old []*Body
	for other := range r.bodies {
		switch {
		case other == b || other.complete || other.bytes == 0:
		case now.Sub(other.advanced) >= r.settings.Stall:
			stalled = append(stalled, other)
		case now.Sub(other.began) >= r.settings.Grace:
			old = append(old, other)
		}
	}
	slices.SortFunc(stalled, func(x, y *Body) int { return x.advanced.Compare(y.advanced) })
	slices.SortFunc(old, func(x, y *Body) int { return cmp.Or(x.began.Compare(y.began), cmp.Compare(y.bytes, x.bytes)) })
	for _, other := range append(stalled, old...) {
		r.Close(other)
		other.evicted = true
		other.evict()
		if r.fits(b, bytes) {
			return true
		}
	}
	return false
}
