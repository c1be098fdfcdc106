package tracker

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// process is the state of one process, kept after another process with the same instance name has replaced it.
type process struct {
	firstSeen time.Time
	// direct is the highest number received from the process itself, reported the highest that any member has received.
	direct    int64
	reported  int64
	lastHeard time.Time
	left      bool
	replaced  bool
}

// listEntry is the state of one instance in the platform's list.
type listEntry struct {
	present     bool
	leaving     bool
	absentSince time.Time
	// delisted means that the instance was listed before it became absent.
	delisted bool
}

// ConfirmedGone reports whether a process is known to have left or ended, so that it can hold no ownership any more; for
// a process from which nothing was ever received, the waiting times start with the first call.
func (t *Tracker) ConfirmedGone(h namer.Holder, now time.Time) bool {
	if h == t.settings.Self {
		return false
	}
	p := t.processFor(h, now)
	if p.left {
		return true
	}
	if now.Sub(latest(p.firstSeen, p.lastHeard)) < t.settings.GoneAfter {
		return false
	}
	return t.nameReused(h, now) || t.delisted(h.Instance, now)
}

// nameReused reports whether another live process has the instance's name.
func (t *Tracker) nameReused(h namer.Holder, now time.Time) bool {
	if h.Instance == t.settings.Self.Instance {
		return true
	}
	p := t.members[h.Instance]
	return p != nil && p.holder != h && !t.isLost(p, now)
}

// delisted reports whether a recent platform list lacks the instance; one that was never listed must be absent for ListLag.
func (t *Tracker) delisted(instance namer.Instance, now time.Time) bool {
	entry := t.list[instance]
	if entry == nil || entry.present || now.Sub(t.listAt) >= t.settings.ListLag {
		return false
	}
	return entry.delisted || t.listAt.Sub(entry.absentSince) >= t.settings.ListLag
}

// ObserveList processes the platform's list of instances, which lags by up to ListLag.
func (t *Tracker) ObserveList(listed []Listed, now time.Time) {
	t.ObserveStoreResponse(now)
	t.listAt = now
	present := make(map[namer.Instance]Listed, len(listed))
	for _, l := range listed {
		present[l.Instance] = l
		t.ensureListEntry(l.Instance)
	}
	for h := range t.processes {
		t.ensureListEntry(h.Instance)
	}
	for instance, entry := range t.list {
		l, found := present[instance]
		entry.observe(found, l.Leaving, now)
	}
}

func (t *Tracker) ensureListEntry(instance namer.Instance) {
	if t.list[instance] == nil {
		t.list[instance] = &listEntry{}
	}
}

func (l *listEntry) observe(found, leaving bool, now time.Time) {
	switch {
	case found:
		*l = listEntry{
			present: true,
			leaving: leaving,
		}
	case l.present:
		*l = listEntry{
			absentSince: now,
			delisted:    true,
		}
	case l.absentSince.IsZero():
		l.absentSince = now
	}
}

func (t *Tracker) processFor(h namer.Holder, now time.Time) *process {
	p := t.processes[h]
	if p == nil {
		p = &process{
			firstSeen: now,
		}
		t.processes[h] = p
	}
	return p
}

// observe records a number received from the process itself.
func (p *process) observe(number int64, now time.Time) {
	p.direct = max(p.direct, number)
	p.reported = max(p.reported, number)
	p.lastHeard = latest(p.lastHeard, now)
}

// mergeReports counts a process as heard when a member reports a higher number than known.
func (t *Tracker) mergeReports(reports []HeardNumber, now time.Time) {
	for _, report := range reports {
		p := t.processFor(report.Holder, now)
		if report.Number > p.reported {
			p.reported = report.Number
			p.lastHeard = latest(p.lastHeard, now)
		}
	}
}

// evict removes processes that were replaced, left or lost long ago, so that restarts do not exhaust the memory.
func (t *Tracker) evict(now time.Time) {
	for instance, p := range t.members {
		if now.Sub(p.lastHeard) >= t.settings.ForgetAfter {
			delete(t.members, instance)
		}
	}
	for h, k := range t.processes {
		p := t.members[h.Instance]
		current := p != nil && p.holder == h
		if !current && now.Sub(latest(k.firstSeen, k.lastHeard)) >= t.settings.ForgetAfter {
			delete(t.processes, h)
		}
	}
	for instance, entry := range t.list {
		if !entry.present && now.Sub(entry.absentSince) >= t.settings.ForgetAfter {
			delete(t.list, instance)
		}
	}
}
