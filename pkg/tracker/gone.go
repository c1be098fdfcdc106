package tracker

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// known is what is known of one process, also after another one took its name.
type known struct {
	since time.Time
	// direct is the last number heard from the process itself, reported the highest that any member heard.
	direct   int64
	reported int64
	heard    time.Time
	left     bool
	replaced bool
}

// listing is what the platform's list said of one instance.
type listing struct {
	present     bool
	leaving     bool
	absentSince time.Time
	// dropped means that it was listed before it became absent.
	dropped bool
}

// ConfirmedGone reports whether the process can hold no authority any more; the first question starts the waits.
func (t *Tracker) ConfirmedGone(h namer.Holder, now time.Time) bool {
	if h == t.settings.Self {
		return false
	}
	k := t.know(h, now)
	if k.left {
		return true
	}
	if now.Sub(latest(k.since, k.heard)) < t.settings.GoneAfter {
		return false
	}
	return t.nameTaken(h, now) || t.dropped(h.Instance, now)
}

// nameTaken reports whether another process lives under the instance's name.
func (t *Tracker) nameTaken(h namer.Holder, now time.Time) bool {
	if h.Instance == t.settings.Self.Instance {
		return true
	}
	p := t.members[h.Instance]
	return p != nil && p.holder != h && !t.lostAt(p, now)
}

// dropped reports whether a list that was read after the last sign of life lacks the instance.
func (t *Tracker) dropped(instance namer.Instance, now time.Time) bool {
	entry := t.list[instance]
	if entry == nil || entry.present || now.Sub(t.listAt) >= t.settings.ListLag {
		return false
	}
	return entry.dropped || t.listAt.Sub(entry.absentSince) >= t.settings.ListLag
}

// ObserveList takes the platform's lagging list of instances.
func (t *Tracker) ObserveList(listed []Listed, now time.Time) {
	t.HearStore(now)
	t.listAt = now
	present := make(map[namer.Instance]Listed, len(listed))
	for _, l := range listed {
		present[l.Instance] = l
		t.enlist(l.Instance)
	}
	for h := range t.holders {
		t.enlist(h.Instance)
	}
	for instance, entry := range t.list {
		l, found := present[instance]
		entry.observe(found, l.Leaving, now)
	}
}

func (t *Tracker) enlist(instance namer.Instance) {
	if t.list[instance] == nil {
		t.list[instance] = &listing{}
	}
}

func (l *listing) observe(found, leaving bool, now time.Time) {
	switch {
	case found:
		*l = listing{
			present: true,
			leaving: leaving,
		}
	case l.present:
		*l = listing{
			absentSince: now,
			dropped:     true,
		}
	case l.absentSince.IsZero():
		l.absentSince = now
	}
}

func (t *Tracker) know(h namer.Holder, now time.Time) *known {
	k := t.holders[h]
	if k == nil {
		k = &known{
			since: now,
		}
		t.holders[h] = k
	}
	return k
}

// hear takes a number from the process itself.
func (k *known) hear(number int64, now time.Time) {
	k.direct = max(k.direct, number)
	k.reported = max(k.reported, number)
	k.heard = latest(k.heard, now)
}

// takeReports counts a process as heard when any member reports a higher number than was known.
func (t *Tracker) takeReports(reports []Heard, now time.Time) {
	for _, report := range reports {
		k := t.know(report.Holder, now)
		if report.Number > k.reported {
			k.reported = report.Number
			k.heard = latest(k.heard, now)
		}
	}
}

// forget drops processes that were replaced, left or lost long ago, so that restarts do not fill memory.
func (t *Tracker) forget(now time.Time) {
	for instance, p := range t.members {
		if now.Sub(p.heard) >= t.settings.ForgetAfter {
			delete(t.members, instance)
		}
	}
	for h, k := range t.holders {
		p := t.members[h.Instance]
		current := p != nil && p.holder == h
		if !current && now.Sub(latest(k.since, k.heard)) >= t.settings.ForgetAfter {
			delete(t.holders, h)
		}
	}
	for instance, entry := range t.list {
		if !entry.present && now.Sub(entry.absentSince) >= t.settings.ForgetAfter {
			delete(t.list, instance)
		}
	}
}
