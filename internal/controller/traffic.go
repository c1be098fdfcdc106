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

// stageName identifies a stage of an attempt.
type stageName int

// The stages of an attempt.
const (
	stageQueued stageName = iota
	stageReserving
	stageRunning
)

// attempt is one attempt of a request, from its admission to its release.
type attempt struct {
	// id identifies the attempt in the admitter.
	id namer.Request
	// reservation is the id of the attempt at owners and engines. Each try to reserve memory gets a new one, because a
	// late release of an earlier try must not free the memory of a later one.
	reservation namer.Request
	admission   *admissionRequest
	stage       stageName
	admitted    admitter.Admit
	class       placer.Class
	estimate    estimator.Estimate
	targets     []namer.Target
	// uncachedTokens is the number of prompt tokens to prefill that the placement assumed.
	uncachedTokens int
	granted        reserver.Granted
	// sendAt is the earliest time at which the attempt may be sent to its target.
	sendAt time.Time
}

// traffic handles requests on this instance: admission, placement, reservation, retries and service calls.
type traffic struct {
	control       *Controller
	retrySettings retrier.Settings
	estimator     *estimator.Estimator
	placer        *placer.Placer
	admitter      *admitter.Admitter
	budget        *retrier.Budget
	// attempts holds all attempts by id; reserved holds those that reserve or hold memory, by reservation.
	attempts map[namer.Request]*attempt
	reserved map[namer.Request]*attempt
	// sequence is the number in the last id of newID.
	sequence int64
	// calls is the number of running service calls on each target.
	calls           map[namer.Target]int
	summaries       map[namer.Target]messenger.TargetSummary
	cacheOffsets    map[namer.Target]int64
	pendingReserves map[reserveKey]chan<- messenger.ReserveAnswer
	// unreachable is the time of the last failed connection to each target.
	unreachable map[namer.Target]time.Time
	// now is the time of the message or tick that is being handled.
	now time.Time
}

func newTraffic(c *Controller) *traffic {
	t := &traffic{
		control:         c,
		retrySettings:   retrier.DefaultSettings(),
		estimator:       estimator.New(estimator.DefaultSettings()),
		budget:          retrier.NewBudget(retrier.DefaultSettings()),
		attempts:        map[namer.Request]*attempt{},
		reserved:        map[namer.Request]*attempt{},
		calls:           map[namer.Target]int{},
		summaries:       map[namer.Target]messenger.TargetSummary{},
		cacheOffsets:    map[namer.Target]int64{},
		pendingReserves: map[reserveKey]chan<- messenger.ReserveAnswer{},

		unreachable: map[namer.Target]time.Time{},
	}
	t.placer = placer.New(placer.DefaultSettings(), t.estimator, t, t.distance, c.options.Random)
	settings := admitter.DefaultSettings()
	settings.QueueLength = c.options.Settings.Bounds.QueuePerModel
	t.admitter = admitter.New(settings, t.placer)
	return t
}

// Unused returns the unused part of a target's quota, in tokens of memory and of prefill; the placer calls it.
func (t *traffic) Unused(target namer.Target) (memory, prefill int) {
	room := t.control.reserver.Room(target, t.now)
	return room.MemoryTokens, room.PrefillTokens
}

func (t *traffic) distance(centre namer.DataCentre) time.Duration {
	return t.control.options.Settings.DataCentreDistance[centre]
}

func (t *traffic) activeAttempts() int {
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

func (t *traffic) targetRestarted(id namer.Target) {
	t.estimator.ResetTarget(id)
}

func (t *traffic) setDeparture(d tracker.Departure) {
	t.placer.SetOutOfService(d.DataCentres, d.Targets)
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

func (t *traffic) cacheOffset(id namer.Target) int64 {
	return t.cacheOffsets[id]
}

func (t *traffic) applyCacheEvents(id namer.Target, events streamer.CacheEvents, now time.Time) {
	t.cacheOffsets[id] = events.Next
	for _, e := range events.Events {
		prefix, err := strconv.ParseUint(e.Prefix, 16, 64)
		if err != nil {
			continue
		}
		if e.Type == "stored" {
			t.placer.AddHint(now, id, prefix)
			continue
		}
		t.placer.RemoveHint(id, prefix)
	}
}

func (t *traffic) unknownRequests(request messenger.ConfirmRequest) messenger.ConfirmAnswer {
	var answer messenger.ConfirmAnswer
	for _, r := range request.Requests {
		if !t.control.reserver.HasAttempt(r) {
			answer.Unknown = append(answer.Unknown, r)
		}
	}
	return answer
}

// retryQueues admits queued requests after quotas were renewed or memory was released.
func (t *traffic) retryQueues(now time.Time) {
	t.now = now
	if t.control.departuresUnconfirmed() {
		return
	}
	for model := range t.control.bundle.Models {
		for {
			action := t.admitter.Next(now, model)
			if action == nil {
				break
			}
			t.applyAdmitterAction(action, now)
		}
	}
}

func (c *Controller) trafficTick(now time.Time) {
	c.traffic.now = now
	c.traffic.placer.Tick(now)
	c.traffic.admitter.SetInstances(c.tracker.UsableInstances(now))
	c.traffic.retryQueues(now)
}

func (c *Controller) handleTraffic(m message, now time.Time) {
	t := c.traffic
	t.now = now
	switch m := m.(type) {
	case *admissionRequest:
		t.admit(m, now)
	case admissionCancelled:
		t.cancelAdmission(m.admission, now)
	case firstTokenReceived:
		t.handleFirstToken(m, now)
	case startRequested:
		a := t.reserved[namer.Request(m.placement.Attempt)]
		m.reply <- a != nil && t.mayStart(a.granted, now)
	case tokenIntervalMeasured:
		t.observeTokenInterval(m)
	case attemptReleased:
		t.release(m, now)
	case requestRefused:
		m.record.At = now
		m.record.Instance = c.options.Self.Instance
		m.record.BundleSequence = c.bundle.Sequence
		id, actions := c.recorder.Add(m.record, now)
		m.reply <- id
		c.recorderActions(actions)
	case callRequested:
		m.reply <- t.placeCall(m.request, now)
	case callEnded:
		t.calls[m.target]--
	}
}

func (t *traffic) release(m attemptReleased, now time.Time) {
	a := t.reserved[namer.Request(m.placement.Attempt)]
	if a == nil {
		return
	}
	t.finish(a, exitFor(m.outcome), now)
}

func exitFor(o Outcome) reserver.Exit {
	if o == Finished {
		return reserver.Finished
	}
	return reserver.Failed
}
