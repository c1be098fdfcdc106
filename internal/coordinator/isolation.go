package coordinator

import (
	"maps"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/convener"
	"bergamothollow.example/bergamothollow/pkg/isolator"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/scheduler"
)

// soundInterval is the interval at which a follower tells its leader which parts of prompts were answered.
const soundInterval = 200 * time.Millisecond

// handleCrash records a crash here and at the leader. Both know it, since either may have to decide alone.
func (c *Coordinator) handleCrash(now time.Time, crash isolator.Crash) {
	c.isolator.Crashed(now, crash)
	if c.leader != nil {
		c.leader.notify(methodCrashed, crashMessage{
			Engine:  crash.Engine,
			Started: crash.Started.UnixMilli(),
			Request: crash.Request,
			Parts:   crash.Parts,
			Late:    crash.Late,
		})
	}
}

func (c *Coordinator) handleSound(now time.Time, parts []namer.Part) {
	c.endIsolations(c.isolator.Sound(now, parts))
	if c.leader == nil {
		return
	}
	for _, p := range parts {
		c.soundParts[p] = true
	}
}

// endIsolations logs and publishes the end of isolations of parts that were answered after all.
func (c *Coordinator) endIsolations(parts []namer.Part) {
	if len(parts) == 0 {
		return
	}
	c.options.Log.Info().Strs("parts", namer.PartNames(parts)).Msg("coordinator: isolation of prompt parts ended")
	c.isolationsChanged()
}

// reportSound tells the leader in batches which parts were answered.
func (c *Coordinator) reportSound(now time.Time) {
	if len(c.soundParts) == 0 || now.Sub(c.soundSentAt) < soundInterval {
		return
	}
	if c.leader != nil {
		c.leader.notify(methodSound, soundMessage{
			Parts: slices.Collect(maps.Keys(c.soundParts)),
		})
	}
	clear(c.soundParts)
	c.soundSentAt = now
}

// isolate begins the isolations that are due; a follower leaves that to its leader.
func (c *Coordinator) isolate(now time.Time) {
	if c.leader != nil {
		return
	}
	begun := c.isolator.Decide(now)
	for _, i := range begun {
		c.options.Log.Warn().Str("part", string(i.Part)).Dur("hold", i.Hold).Time("until", i.Until).
			Msg("coordinator: prompt part isolated, engines crash on it")
	}
	if len(begun) == 0 {
		return
	}
	c.isolationsChanged()
}

// isolationsChanged publishes the isolations, tells the followers and refuses the waiting requests with isolated parts.
func (c *Coordinator) isolationsChanged() {
	now := c.options.Clock.Now()
	c.viewOutdated = true
	c.nextPublish = time.Time{}
	// A leader stores the isolations when it checks the pointer.
	c.convener.CheckNow(now)
	if c.convener.Role() == convener.Leading {
		message := c.encodeIsolations(now)
		for l := range c.followers {
			l.notify(methodIsolated, message)
		}
	}
	for id, w := range c.waiting {
		until, found := c.isolator.Until(now, w.parts)
		if !found {
			continue
		}
		reply := w.reply
		c.handleWithdraw(now, id)
		reply <- scheduler.Refuse{
			Request:    id,
			Reason:     scheduler.CrashesEngines,
			RetryAfter: until.Sub(now),
			Waited:     now.Sub(w.request.Arrived),
		}
	}
}

// isolatedParts returns the isolations for the view; it is nil if there are none.
func (c *Coordinator) isolatedParts() map[namer.Part]time.Time {
	list := c.isolator.Isolations()
	if len(list) == 0 {
		return nil
	}
	parts := make(map[namer.Part]time.Time, len(list))
	for _, i := range list {
		parts[i.Part] = i.Until
	}
	return parts
}

func (c *Coordinator) encodeIsolations(now time.Time) isolationsMessage {
	var message isolationsMessage
	for _, i := range c.isolator.Isolations() {
		message.Isolations = append(message.Isolations, isolationEntry{
			Part: i.Part,
			Left: i.Until.Sub(now),
			Hold: i.Hold,
		})
	}
	return message
}

func (m *isolationsMessage) isolations(now time.Time) []isolator.Isolation {
	list := make([]isolator.Isolation, 0, len(m.Isolations))
	for _, e := range m.Isolations {
		list = append(list, isolator.Isolation{
			Part:  e.Part,
			Until: now.Add(e.Left),
			Hold:  e.Hold,
		})
	}
	return list
}

// addIsolations adds isolations that a follower or the store knows.
func (c *Coordinator) addIsolations(list []isolator.Isolation, source string) {
	changed := false
	for _, i := range list {
		if c.isolator.Add(i) {
			changed = true
			c.logLearnt(i, source)
		}
	}
	if changed {
		c.isolationsChanged()
	}
}

// replaceIsolations takes over the leader's isolations.
func (c *Coordinator) replaceIsolations(list []isolator.Isolation) {
	if !c.isolator.Replace(list) {
		return
	}
	for _, i := range list {
		c.logLearnt(i, c.leaderName)
	}
	c.isolationsChanged()
}

func (c *Coordinator) logLearnt(i isolator.Isolation, source string) {
	c.options.Log.Info().Str("part", string(i.Part)).Dur("hold", i.Hold).Time("until", i.Until).Str("source", source).
		Msg("coordinator: learnt of an isolated prompt part")
}

// shareIsolations sends what this instance knows to a peer that it has just begun to follow or to lead.
func (c *Coordinator) shareIsolations(now time.Time, to *link) {
	if message := c.encodeIsolations(now); len(message.Isolations) > 0 {
		to.notify(methodIsolated, message)
	}
}

// storedPointer is the object that names the leader. It also holds the isolated parts, which have to outlast all processes and are
// known that way to instances that reach the store but no leader.
type storedPointer struct {
	convener.Peer
	Isolated []storedIsolation `json:"isolated,omitempty"`
}

type storedIsolation struct {
	Part        namer.Part `json:"part"`
	UntilUnixMS int64      `json:"until_unix_ms"`
	HoldMS      int64      `json:"hold_ms"`
}

func (c *Coordinator) storedPointer() storedPointer {
	p := storedPointer{
		Peer: c.self(),
	}
	for _, i := range c.isolator.Isolations() {
		p.Isolated = append(p.Isolated, storedIsolation{
			Part:        i.Part,
			UntilUnixMS: i.Until.UnixMilli(),
			HoldMS:      i.Hold.Milliseconds(),
		})
	}
	return p
}

func (p *storedPointer) isolations() []isolator.Isolation {
	list := make([]isolator.Isolation, 0, len(p.Isolated))
	for _, s := range p.Isolated {
		list = append(list, isolator.Isolation{
			Part:  s.Part,
			Until: time.UnixMilli(s.UntilUnixMS),
			Hold:  time.Duration(s.HoldMS) * time.Millisecond,
		})
	}
	return list
}

// sameParts reports whether both lists isolate the same parts.
func sameParts(stored []isolator.Isolation, known []isolator.Isolation) bool {
	return slices.EqualFunc(stored, known, func(a, b isolator.Isolation) bool { return a.Part == b.Part && a.Hold == b.Hold })
}
