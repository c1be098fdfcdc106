package controller

import (
	"strconv"
	"time"

	"bergamothollow.example/bergamothollow/internal/messenger"
	"bergamothollow.example/bergamothollow/internal/streamer"
	"bergamothollow.example/bergamothollow/pkg/admitter"
	"bergamothollow.example/bergamothollow/pkg/estimator"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/placer"
	"bergamothollow.example/bergamothollow/pkg/reserver"
	"bergamothollow.example/bergamothollow/pkg/retrier"
	"bergamothollow.example/bergamothollow/pkg/roller"
	"bergamothollow.example/bergamothollow/pkg/tracker"
)

// stageName is a stage in the life of an attempt.
type stageName int

// The stages of an attempt.
const (
	stageQueued stageName = iota
	stageReserving
	stageRunning
)

// attempt is one attempt of a request, from its admission to its release.
type attempt struct {
	// id is the admission's.
	id namer.Request
	// reservation is the id under which owners and engines know the attempt. It is new for each try to reserve memory: a
	// late release of an earlier try must not free what a later one holds.
	reservation namer.Request
	admission   *admit
	stage       stageName
	admitted    admitter.Admit
	class       placer.Class
	estimate    estimator.Estimate
	targets     []namer.Target
	// uncached is the prefill that the placement counted on.
	uncached int
	granted  reserver.Granted
	// sendAt is the earliest time to send the attempt to its target.
	sendAt time.Time
}

// traffic connects the decisions about requests: admission, placement, reservation and retries.
type traffic struct {
	control   *Controller
	settings  retrier.Settings
	estimator *estimator.Estimator
	placer    *placer.Placer
	admitter  *admitter.Admitter
	budget    *retrier.Budget
	attempts  map[namer.Request]*attempt
	reserved  map[namer.Request]*attempt
	sequence  int64
	calls     map[namer.Target]int
	summaries map[namer.Target]messenger.TargetSummary
	caches    map[namer.Target]int64
	waiting   map[reserveKey]chan<- messenger.ReserveAnswer
	// unreachable has the time of the last failed connection to a target.
	unreachable map[namer.Target]time.Time
	now         time.Time
}

func newTraffic(c *Controller) *traffic {
	t := &traffic{
		control:   c,
		settings:  retrier.DefaultSettings(),
		estimator: estimator.New(estimator.DefaultSettings()),
		budget:    retrier.NewBudget(retrier.DefaultSettings()),
		attempts:  map[namer.Request]*attempt{},
		reserved:  map[namer.Request]*attempt{},
		calls:     map[namer.Target]int{},
		summaries: map[namer.Target]messenger.TargetSummary{},
		caches:    map[namer.Target]int64{},
		waiting:   map[reserveKey]chan<- messenger.ReserveAnswer{},

		unreachable: map[namer.Target]time.Time{},
	}
	t.placer = placer.New(placer.DefaultSettings(), t.estimator, t, t.distance, c.options.Random)
	admission := admitter.DefaultSettings()
	admission.QueueLength = c.options.Settings.Bounds.QueuePerModel
	t.admitter = admitter.New(admission, t.placer)
	return t
}

// Room tells the placer what the quota of a target still allows.
func (t *traffic) Room(target namer.Target) (memory, prefill int) {
	room := t.control.reserver.Room(target, t.now)
	return room.MemoryTokens, room.PrefillTokens
}

func (t *traffic) distance(centre namer.DataCentre) time.Duration {
	return t.control.options.Settings.DataCentreDistance[centre]
}

func (t *traffic) running() int {
	return len(t.attempts)
}

func (t *traffic) queued() int {
	queued := 0
	for _, a := range t.attempts {
		if a.stage == stageQueued {
			queued++
		}
	}
	return queued
}

func (t *traffic) setTarget(record tracker.Target) {
	if record.Kind != tracker.TargetEngine {
		return
	}
	t.estimator.SetTarget(estimator.Target{
		ID:             record.ID,
		Model:          record.Model,
		CapacityTokens: record.CapacityTokens,
		PrefillRate:    record.PrefillRate,
		TokenInterval:  record.TokenInterval,
	})
	t.placer.SetTarget(placer.Target{
		ID:             record.ID,
		Model:          record.Model,
		DataCentre:     record.DataCentre,
		CapacityTokens: record.CapacityTokens,
		GroupContext:   record.GroupContext,
	})
}

func (t *traffic) forgetTarget(id namer.Target) {
	t.estimator.RemoveTarget(id)
	t.placer.RemoveTarget(id)
}

func (t *traffic) restarted(id namer.Target) {
	t.estimator.Restarted(id)
}

func (t *traffic) setDeparture(d tracker.Departure) {
	t.placer.SetDeparture(d.DataCentres, d.Targets)
}

func (t *traffic) setBundle(b roller.Bundle) {
	limits := map[namer.Customer]admitter.Limits{}
	for name, customer := range b.Customers {
		limits[name] = admitter.Limits{
			Weight:            customer.Weight,
			RequestsPerSecond: customer.RequestsPerSecond,
			Concurrency:       customer.Concurrency,
		}
	}
	t.admitter.SetCustomers(limits)
}

func (t *traffic) setSummary(s messenger.TargetSummary, now time.Time) {
	t.summaries[s.Target] = s
	t.placer.Update(placer.Summary{
		Target:       s.Target,
		FreeTokens:   s.FreeTokens,
		QueueTokens:  s.QueueTokens,
		WarmPercent:  s.WarmPercent,
		LongPrefills: s.LongPrefills,
		At:           now,
	})
}

func (t *traffic) summary(id namer.Target) messenger.TargetSummary {
	return t.summaries[id]
}

func (t *traffic) cacheAfter(id namer.Target) int64 {
	return t.caches[id]
}

func (t *traffic) takeCache(id namer.Target, events streamer.CacheEvents, now time.Time) {
	t.caches[id] = events.Next
	for _, e := range events.Events {
		prefix, err := strconv.ParseUint(e.Prefix, 16, 64)
		if err != nil {
			continue
		}
		if e.Type == "stored" {
			t.placer.Stored(now, id, prefix)
			continue
		}
		t.placer.Evicted(id, prefix)
	}
}

func (t *traffic) unknown(request messenger.ConfirmRequest) messenger.ConfirmAnswer {
	var answer messenger.ConfirmAnswer
	for _, r := range request.Requests {
		if !t.control.reserver.Knows(r) {
			answer.Unknown = append(answer.Unknown, r)
		}
	}
	return answer
}

// roomChanged tries the queues again: quotas were renewed or memory was released.
func (t *traffic) roomChanged(now time.Time) {
	t.now = now
	if t.control.unconfirmed() {
		return
	}
	for model := range t.control.bundle.Models {
		for {
			action := t.admitter.Next(now, model)
			if action == nil {
				break
			}
			t.act(action, now)
		}
	}
}

func (c *Controller) trafficTick(now time.Time) {
	c.traffic.now = now
	c.traffic.placer.Tick(now)
	c.traffic.admitter.SetInstances(c.tracker.LiveEntries(now))
	c.traffic.roomChanged(now)
}

func (c *Controller) handleTraffic(m message, now time.Time) {
	t := c.traffic
	t.now = now
	switch m := m.(type) {
	case *admit:
		t.admit(m, now)
	case abandoned:
		t.abandon(m.admission, now)
	case firstToken:
		t.firstToken(m, now)
	case startWanted:
		a := t.reserved[namer.Request(m.placement.Attempt)]
		m.reply <- a != nil && t.mayStart(a.granted, now)
	case interval:
		t.learnInterval(m)
	case released:
		t.release(m, now)
	case refused:
		m.record.At = now
		m.record.Instance = c.options.Self.Instance
		m.record.BundleSequence = c.bundle.Sequence
		id, actions := c.recorder.Add(m.record, now)
		m.reply <- id
		c.recorderActions(actions)
	case callWanted:
		m.reply <- t.placeCall(m.request, now)
	case callEnded:
		t.calls[m.target]--
	}
}

func (t *traffic) release(m released, now time.Time) {
	a := t.reserved[namer.Request(m.placement.Attempt)]
	if a == nil {
		return
	}
	t.finish(a, exitOf(m.outcome), now)
}

func exitOf(o Outcome) reserver.Exit {
	if o == Finished {
		return reserver.Finished
	}
	return reserver.Failed
}
