package warden

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/versioner"
)

// Settings are the times of a warden. All processes must have the same lease.
type Settings struct {
	// Lease is how long the duties stay with a holder that doesn't renew them.
	Lease time.Duration
	// Renew is the age of a lease at which its holder renews it.
	Renew time.Duration
	// Retry is the pause before a further step after a failed call.
	Retry time.Duration
	// Margin is how long before the end of its lease a holder stops acting, and how long after it another one takes over: calls may take
	// that long to arrive, and clocks run at slightly different rates.
	Margin time.Duration
}

// SettingsFor returns the settings for a lease.
func SettingsFor(lease time.Duration) Settings {
	return Settings{
		Lease:  lease,
		Renew:  lease / 3,
		Retry:  lease / 20,
		Margin: lease / 10,
	}
}

// Record is the state in the store. Its version doesn't exist if there is none.
type Record struct {
	Version versioner.Version
	// Holder is the process that holds the duties or held them last.
	Holder string
	// Fence is the number of that holder.
	Fence int64
	// Released is set if the holder has given the duties up and has no call on its way.
	Released bool
}

// Action is a call of the store for the caller to make: Read or Write.
type Action interface {
	action()
}

// Read reads the record; the caller must report Seen or Failed.
type Read struct{}

// Write writes the record if the store still has its version; the caller must report Written, Seen or Failed.
type Write struct {
	Record Record
	// Lost is set if the restored store may lack the last holder and what it stored: this process takes the duties from a holder of a
	// former era, and wasn't the last one itself.
	Lost bool
}

func (Read) action()  {}
func (Write) action() {}

// Wish is what the process wants at present.
type Wish struct {
	// Hold is set while the process should hold the duties.
	Hold bool
	// Busy is set while calls for the duties are on their way.
	Busy bool
	// Store is set if the record should be written soon, since the caller has something to keep with it.
	Store bool
}

// Warden is the state of one process. Its times are those of a clock that never jumps and counts suspension.
type Warden struct {
	settings Settings
	self     string
	// record is the last record seen, and seenAt when its version was first seen.
	record Record
	seenAt time.Duration
	// current is unset while the record in the store may differ in a way that a read would show.
	current bool
	pending Action
	sentAt  time.Duration
	next    time.Duration
	// holds is set while this process holds the duties; its lease counts from leaseFrom, and it has held them since heldFrom.
	holds     bool
	leaseFrom time.Duration
	heldFrom  time.Duration
	// highest is the highest fence seen.
	highest int64
	// era is the newest era of the store that this process has heard of.
	era int64
	// continues is set while this process may hold the duties in this era as it did in the one before, until the end of that lease.
	continues bool
}

// eraFences is the number of fences in an era, and maxFenceEra the last era that has fences of its own: a platform may read a fence as a
// floating-point number, which is exact below 2^53.
const (
	eraFences   = 1 << 20
	maxFenceEra = 1 << 32
)

// firstFence returns the lowest fence of an era. It is above all fences of earlier eras, also those that a restored store has forgotten.
func firstFence(era int64) int64 {
	return min(era, maxFenceEra) * eraFences
}

// EnterEra reports an era of the store: a newer one has begun when the store was restored from a copy. Leases of the former era end, but
// its holder may go on once it has written the record again. Any other process waits for the end of the longest lease, since the copy may
// lack the last holder.
func (w *Warden) EnterEra(now time.Duration, era int64) {
	if era <= w.era {
		return
	}
	_, _, w.continues = w.Turn(now)
	w.era = era
	w.holds = false
	w.current = false
}

// New returns a warden of a process. The name must differ from those of all other processes, also from former ones of the machine.
func New(settings Settings, self string) *Warden {
	return &Warden{
		settings: settings,
		self:     self,
	}
}

// Turn reports whether the process may act now, with which fence and until when.
func (w *Warden) Turn(now time.Duration) (fence int64, until time.Duration, ok bool) {
	until = w.leaseEnd()
	return w.record.Fence, until, w.holds && now < until
}

// leaseEnd returns when this process stops acting unless it renews its lease.
func (w *Warden) leaseEnd() time.Duration {
	return w.leaseFrom + w.settings.Lease - w.settings.Margin
}

// Tick returns the next call of the store, nil if there is none now.
func (w *Warden) Tick(now time.Duration, wish Wish) Action {
	if w.pending != nil || now < w.next {
		return nil
	}
	w.pending = w.step(now, wish)
	w.sentAt = now
	return w.pending
}

func (w *Warden) step(now time.Duration, wish Wish) Action {
	ofEra := w.record.Fence >= firstFence(w.era)
	mine := ofEra && w.record.Holder == w.self && !w.record.Released
	waited := now-w.seenAt >= w.settings.Lease+w.settings.Margin
	switch {
	case !wish.Hold:
		return w.giveUp(now, wish.Busy)
	case !w.current:
		return Read{}
	case mine && w.holds && !wish.Store && now-w.leaseFrom < w.settings.Renew:
		return nil
	case mine:
		return w.write(w.record.Fence, false)
	case w.continues && !ofEra && now < w.leaseEnd(), waited, ofEra && (w.record.Released || !w.record.Version.Exists()):
		write := w.write(max(w.highest+1, firstFence(w.era)), false)
		write.Lost = !ofEra && !w.continues
		return write
	default:
		return nil
	}
}

// giveUp releases the duties. A holder that has held them for less than a lease only lets its lease run out: else the one before it could
// follow it too soon.
func (w *Warden) giveUp(now time.Duration, busy bool) Action {
	if !w.holds || busy {
		return nil
	}
	w.holds = false
	if !w.current || now-w.heldFrom < w.settings.Lease {
		return nil
	}
	return w.write(w.record.Fence, true)
}

func (w *Warden) write(fence int64, released bool) Write {
	return Write{
		Record: Record{
			Version:  w.record.Version,
			Holder:   w.self,
			Fence:    fence,
			Released: released,
		},
	}
}

// Written reports that the pending write was done and gave the record a new version.
func (w *Warden) Written(now time.Duration, version versioner.Version) {
	write, ok := w.pending.(Write)
	w.pending = nil
	if !ok {
		return
	}
	w.EnterEra(now, version.Era)
	if version.Era < w.era || write.Record.Fence < firstFence(w.era) {
		// The store was restored after the write, or before it: its fence is of the former era.
		w.current = false
		return
	}
	took := write.Record.Fence != w.record.Fence
	w.record = write.Record
	w.record.Version = version
	w.seenAt = now
	w.highest = max(w.highest, w.record.Fence)
	w.holds = !write.Record.Released
	w.leaseFrom = w.sentAt
	if took {
		w.heldFrom = now
	}
}

// Seen reports the record in the store, after a read or a write that found another version.
func (w *Warden) Seen(now time.Duration, r Record) {
	w.pending = nil
	if r.Version.Era < w.era {
		return
	}
	w.EnterEra(now, r.Version.Era)
	w.current = true
	if r.Version != w.record.Version || w.seenAt == 0 {
		w.seenAt = now
	}
	if r.Version != w.record.Version {
		// A write of this process whose answer was lost may be the one that is seen, but not since when it counts.
		w.holds = false
		w.heldFrom = now
	}
	w.record = r
	w.highest = max(w.highest, r.Fence)
}

// Failed reports that the pending call failed; a write may have been done or may still be.
func (w *Warden) Failed(now time.Duration) {
	w.pending = nil
	w.current = false
	w.next = now + w.settings.Retry
}
