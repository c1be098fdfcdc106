package placer

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/estimator"
	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Placer keeps the load of targets as this instance knows it, and chooses among them.
type Placer struct {
	settings  Settings
	estimates Estimator
	quota     Quota
	distance  Distance
	random    *rand.Rand
	targets   map[namer.Target]*state
	models    map[namer.Model]*pool
	running   map[namer.Request]*placement
	hints     *hints

	departedCentres map[namer.DataCentre]bool
	departedTargets map[namer.Target]bool

	// found and candidates are reused between decisions.
	found      []holding
	candidates []candidate
}

// state is one target with its last summary and the changes made here since.
type state struct {
	target  Target
	delay   time.Duration
	summary Summary
	// pending are the uncached tokens placed here since the summary and not yet processed.
	pending int
	// processed are tokens counted in the summary's queue and processed since.
	processed int
	// reserved is the memory reserved here since the summary.
	reserved int
	// longPending and longProcessed count long prefills in the same way, longPending over all time.
	longPending   int
	longProcessed int
	// held is the memory held by requests that are not short, placed by this instance.
	held int
	pool *pool
	long bool
}

// pool is the targets in service of one model.
type pool struct {
	targets []*state
	// queueTokens is the sum of the queues of the counted targets, those without a long prefill.
	queueTokens int
	counted     int
	long        int
	// largest is the memory of the largest target, and of the largest that takes group members.
	largest int
}

type placement struct {
	parts []part
	class Class
}

type part struct {
	target   *state
	at       time.Time
	uncached int
	tokens   int
	prefill  bool
	reserved bool
}

type candidate struct {
	state    *state
	cached   int
	estimate estimator.Estimate
	score    time.Duration
	fits     bool
	reserve  bool
	free     int
	long     bool
	// waits marks a target that may take the request once memory is free.
	waits bool
	// late marks a target that is predicted to take longer than the time left.
	late bool
}

// SetTarget adds a target or replaces its record.
func (p *Placer) SetTarget(target Target) {
	known := p.targets[target.ID]
	if known == nil {
		known = &state{}
		p.targets[target.ID] = known
	}
	known.target = target
	known.delay = p.distance(target.DataCentre)
	p.rebuild()
}

// RemoveTarget forgets a target; requests that run there are still accounted for until they end.
func (p *Placer) RemoveTarget(id namer.Target) {
	delete(p.targets, id)
	p.rebuild()
}

// SetDeparture replaces the data centres and targets that are taken out.
func (p *Placer) SetDeparture(centres []namer.DataCentre, targets []namer.Target) {
	p.departedCentres = map[namer.DataCentre]bool{}
	for _, centre := range centres {
		p.departedCentres[centre] = true
	}
	p.departedTargets = map[namer.Target]bool{}
	for _, target := range targets {
		p.departedTargets[target] = true
	}
	p.rebuild()
}

// rebuild recomputes the pools, in the order of target ids so that equal seeds give equal samples.
func (p *Placer) rebuild() {
	clear(p.models)
	ids := make([]namer.Target, 0, len(p.targets))
	for id, one := range p.targets {
		one.pool = nil
		if !p.departedTargets[id] && !p.departedCentres[one.target.DataCentre] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		one := p.targets[id]
		members := p.models[one.target.Model]
		if members == nil {
			members = &pool{}
			p.models[one.target.Model] = members
		}
		one.pool = members
		one.long = false
		members.targets = append(members.targets, one)
		one.countQueue(1)
		members.largest = max(members.largest, one.target.CapacityTokens)
		one.countLong()
	}
}

// countQueue adds the reported queue to the pool's, or takes it out.
func (s *state) countQueue(sign int) {
	if s.pool == nil || s.summary.LongPrefills > 0 {
		return
	}
	s.pool.queueTokens += sign * s.summary.QueueTokens
	s.pool.counted += sign
}

// countLong keeps the pool's number of targets with a long prefill.
func (s *state) countLong() {
	long := s.longPending > 0 || s.summary.LongPrefills > s.longProcessed
	if s.pool != nil && long != s.long {
		if long {
			s.pool.long++
		} else {
			s.pool.long--
		}
	}
	s.long = long
}

// Update takes a newer summary of a target.
func (p *Placer) Update(summary Summary) {
	known := p.targets[summary.Target]
	if known == nil || summary.At.Before(known.summary.At) {
		return
	}
	known.countQueue(-1)
	known.summary = summary
	known.countQueue(1)
	known.pending, known.processed, known.reserved, known.longProcessed = 0, 0, 0, 0
	for _, running := range p.running {
		for _, one := range running.parts {
			if one.target != known || !one.at.After(summary.At) {
				continue
			}
			if one.prefill {
				known.pending += one.uncached
			}
			if one.reserved {
				known.reserved += one.tokens
			}
		}
	}
	known.countLong()
}

// Start accounts for a request that was placed as decided. Its id must not be running.
func (p *Placer) Start(now time.Time, id namer.Request, decision Decision) {
	started := &placement{}
	switch d := decision.(type) {
	case Chosen:
		started.class = d.Class
		started.parts = p.startPart(started.parts, now, d.Target, d.UncachedTokens, d.Estimate.Tokens,
			d.Class, d.NeedsReservation)
	case Group:
		started.class = Long
		for _, member := range d.Members {
			started.parts = p.startPart(started.parts, now, member.Target, member.Tokens, member.Tokens, Long, true)
		}
	default:
		return
	}
	p.running[id] = started
}

func (p *Placer) startPart(parts []part, now time.Time, id namer.Target, uncached, tokens int,
	class Class, reserved bool,
) []part {
	target := p.targets[id]
	if target == nil {
		return parts
	}
	target.pending += uncached
	if reserved {
		target.reserved += tokens
	}
	if class != Short {
		target.held += tokens
	}
	if class == Long {
		target.longPending++
		target.countLong()
	}
	return append(parts, part{
		target:   target,
		at:       now,
		uncached: uncached,
		tokens:   tokens,
		prefill:  true,
		reserved: reserved,
	})
}

// FirstToken records that the prefill of a request is over.
func (p *Placer) FirstToken(id namer.Request) {
	running := p.running[id]
	if running == nil {
		return
	}
	for i := range running.parts {
		running.parts[i].endPrefill(running.class)
	}
}

func (o *part) endPrefill(class Class) {
	if !o.prefill {
		return
	}
	o.prefill = false
	seen := !o.at.After(o.target.summary.At)
	if seen {
		o.target.processed += o.uncached
	} else {
		o.target.pending -= o.uncached
	}
	if class == Long {
		o.target.longPending--
		if seen {
			o.target.longProcessed++
		}
		o.target.countLong()
	}
}

// Finish records that a request has ended in any way; unknown ids are ignored.
func (p *Placer) Finish(id namer.Request) {
	running := p.running[id]
	if running == nil {
		return
	}
	delete(p.running, id)
	for i := range running.parts {
		one := &running.parts[i]
		one.endPrefill(running.class)
		if running.class != Short {
			one.target.held -= one.tokens
		}
		if one.reserved && one.at.After(one.target.summary.At) {
			one.target.reserved -= one.tokens
		}
	}
}

// Running returns the number of requests that are accounted for.
func (p *Placer) Running() int {
	return len(p.running)
}

// Stored takes a hint that a target holds a prefix; engines report each block of a prefix.
func (p *Placer) Stored(now time.Time, target namer.Target, prefix uint64) {
	p.hints.store(now, target, prefix)
}

// Evicted takes a hint that a target no longer holds a prefix.
func (p *Placer) Evicted(target namer.Target, prefix uint64) {
	p.hints.evict(target, prefix)
}

// Tick drops expired hints.
func (p *Placer) Tick(now time.Time) {
	p.hints.expire(now)
}

// Classify returns the class of a number of uncached tokens.
func (p *Placer) Classify(uncached int) Class {
	switch {
	case uncached <= p.settings.ShortTokens:
		return Short
	case uncached <= p.settings.MediumTokens:
		return Medium
	default:
		return Long
	}
}

// Place chooses where a request goes. It changes nothing: Start does, once the request is placed.
func (p *Placer) Place(now time.Time, r Request) Decision {
	members := p.models[r.Model]
	if members == nil {
		return Never{
			NeededTokens: r.Tokens(),
		}
	}
	if size := p.groupSize(r, members); size > 1 {
		return p.placeGroup(now, r, members, size)
	}
	p.collect(now, r, members)
	best, second := -1, -1 // second is the best for a short request beside a long prefill
	result := NoRoom{
		NeededTokens: r.Tokens(),
		Class:        p.Classify(r.PromptTokens),
	}
	for i := range p.candidates {
		one := &p.candidates[i]
		result.FreeTokens = max(result.FreeTokens, one.free)
		if result.Estimate.Total == 0 || one.estimate.Total < result.Estimate.Total {
			result.Estimate = one.estimate
			result.Class = p.Classify(r.PromptTokens - one.cached)
		}
		switch {
		case !one.fits:
		case one.long && (second < 0 || one.before(&p.candidates[second])):
			second = i
		case !one.long && (best < 0 || one.before(&p.candidates[best])):
			best = i
		}
	}
	// A target beside a long prefill is better than one that would be late.
	if best < 0 || (second >= 0 && p.candidates[best].late && !p.candidates[second].late) {
		best = second
	}
	if best < 0 && r.MayWait {
		best = p.freest()
	}
	if best < 0 {
		return result
	}
	one := p.candidates[best]
	uncached := r.PromptTokens - one.cached
	class := p.Classify(uncached)
	notice := time.Duration(0)
	if class == Long {
		notice = p.settings.LongNotice
		one.estimate.Wait += notice
		one.estimate.Total += notice
	}
	return Chosen{
		Target:           one.state.target.ID,
		Class:            class,
		Notice:           notice,
		Estimate:         one.estimate,
		CachedTokens:     one.cached,
		UncachedTokens:   uncached,
		NeedsReservation: one.reserve || one.waits,
		Waits:            one.waits,
	}
}

// freest returns the candidate to wait for: that with the most free memory.
func (p *Placer) freest() int {
	best := -1
	for i := range p.candidates {
		one := &p.candidates[i]
		if one.waits && (best < 0 || one.free > p.candidates[best].free) {
			best = i
		}
	}
	return best
}

// before orders candidates: those in time first, then those within the quota first, since a reservation costs a round trip
// and uses what is kept back for large requests.
func (c *candidate) before(other *candidate) bool {
	if c.late != other.late {
		return !c.late
	}
	if c.reserve != other.reserve {
		return !c.reserve
	}
	return c.score < other.score
}

// collect fills p.candidates with the prefix holders and a sample of the others.
func (p *Placer) collect(now time.Time, r Request, members *pool) {
	p.candidates = p.candidates[:0]
	p.found = p.hints.holders(now, r.Prefix, p.found[:0])
	for _, one := range p.found {
		holder := p.targets[one.target]
		if holder == nil || holder.pool != members || slices.Contains(r.Exclude, one.target) {
			continue
		}
		// The last token of a prompt is always processed, even if the whole prompt is cached.
		cached := min(one.blocks*p.settings.BlockTokens, r.PromptTokens-1)
		p.candidates = append(p.candidates, p.rate(now, r, holder, cached))
	}
	holders := len(p.candidates)
	roomy := 0
	for drawn := 0; drawn < min(len(members.targets), p.settings.MaxDraws) && roomy < p.settings.SampleSize; drawn++ {
		// A partial shuffle draws without repetition, at a cost that does not depend on the pool.
		other := drawn + p.random.IntN(len(members.targets)-drawn)
		members.targets[drawn], members.targets[other] = members.targets[other], members.targets[drawn]
		one := members.targets[drawn]
		if slices.Contains(r.Exclude, one.target.ID) || p.listed(one, holders) {
			continue
		}
		rated := p.rate(now, r, one, 0)
		if rated.fits {
			roomy++
		}
		p.candidates = append(p.candidates, rated)
	}
}

func (p *Placer) listed(one *state, holders int) bool {
	for i := range holders {
		if p.candidates[i].state == one {
			return true
		}
	}
	return false
}

// rate scores a request on a target and decides whether it has room there.
func (p *Placer) rate(now time.Time, r Request, target *state, cached int) candidate {
	uncached := r.PromptTokens - cached
	class := p.Classify(uncached)
	rated := candidate{
		state:  target,
		cached: cached,
		long:   class == Short && target.long,
	}
	rated.estimate = p.estimates.Estimate(estimator.Request{
		PromptTokens: r.PromptTokens,
		CachedTokens: cached,
		OutputTokens: r.OutputTokens,
	}, target.target.ID, estimator.Load{
		QueueTokens: p.queueTokens(now, target, class),
		WarmPercent: target.summary.WarmPercent,
	})
	rated.late = r.TimeLeft > 0 && rated.estimate.Total > r.TimeLeft
	rated.score = rated.estimate.FirstToken() + 2*target.delay
	if class == Long {
		// The predicted time between tokens grows with the streams that a long prefill would slow.
		rated.score += rated.estimate.Decode
	}
	if class == Long && !p.longAllowed(target) {
		return rated
	}
	memory, prefill := p.quota.Room(target.target.ID)
	reservable := target.summary.FreeTokens - target.reserved
	if class != Short {
		kept := p.settings.ShortMemoryShare
		memory = int(float64(memory) - kept*float64(memory+target.held))
	}
	rated.free = max(memory, reservable)
	switch {
	case class != Long && r.Tokens() <= memory && uncached <= prefill:
		rated.fits = true
	case r.Tokens() <= reservable:
		// The owner decides about all long prefills, so that two instances cannot start one each.
		rated.fits = true
		rated.reserve = true
	default:
		rated.waits = class != Short
	}
	return rated
}

// longAllowed reports whether a target may start a long prefill: it has none, and no more than
// the share of the model's targets have one.
func (p *Placer) longAllowed(target *state) bool {
	return !target.long && target.pool.long < p.longLimit(target.pool)
}

func (p *Placer) longLimit(members *pool) int {
	return max(1, int(math.Floor(float64(len(members.targets))*p.settings.LongShare+1e-9)))
}

// queueTokens predicts the work in front of a request. What a summary says fades into the mean of
// the model with age; own placements since are known exactly.
func (p *Placer) queueTokens(now time.Time, target *state, class Class) int {
	mean := float64(target.pool.queueTokens) / float64(max(target.pool.counted, 1))
	reported := float64(max(target.summary.QueueTokens-target.processed, 0))
	age := min(float64(now.Sub(target.summary.At))/float64(p.settings.LoadMaxAge), 1)
	if target.long && class == Short {
		// Short requests pass the long prefill that makes up most of such a queue.
		reported = min(reported, mean)
	}
	return int(reported+age*(mean-reported)) + max(target.pending, 0)
}

// groupSize returns how many targets must hold a request together.
func (p *Placer) groupSize(r Request, members *pool) int {
	share := p.settings.GroupShare * float64(members.largest)
	return int(math.Ceil(float64(r.Tokens()) / share))
}

// placeGroup chooses the members with the most free memory among a sample.
func (p *Placer) placeGroup(now time.Time, r Request, members *pool, size int) Decision {
	tokens := (r.Tokens() + size - 1) / size
	capable := 0
	p.candidates = p.candidates[:0]
	for _, one := range members.targets {
		if !one.target.GroupContext || float64(tokens) > p.settings.GroupShare*float64(one.target.CapacityTokens) ||
			slices.Contains(r.Exclude, one.target.ID) {
			continue
		}
		capable++
		p.candidates = append(p.candidates, candidate{
			state: one,
			free:  one.summary.FreeTokens - one.reserved,
			fits:  !one.long && tokens <= one.summary.FreeTokens-one.reserved,
		})
	}
	if capable < size {
		return Never{
			NeededTokens: r.Tokens(),
			Targets:      len(members.targets),
		}
	}
	slices.SortStableFunc(p.candidates, func(a, b candidate) int {
		switch {
		case a.fits != b.fits && a.fits:
			return -1
		case a.fits != b.fits:
			return 1
		default:
			return b.free - a.free
		}
	})
	chosen := p.candidates[:size]
	estimate := p.estimates.Estimate(estimator.Request{
		PromptTokens: r.PromptTokens / size,
		OutputTokens: r.OutputTokens,
	}, chosen[0].state.target.ID, estimator.Load{
		QueueTokens: p.queueTokens(now, chosen[0].state, Long),
		WarmPercent: chosen[0].state.summary.WarmPercent,
	})
	estimate.Tokens = tokens
	estimate.Wait += p.settings.LongNotice
	estimate.Total += p.settings.LongNotice
	// A group may exceed the share of long targets when nothing else does, or it could never run.
	waits := !chosen[size-1].fits
	if (waits && !r.MayWait) || (members.long > 0 && members.long+size > p.longLimit(members)) {
		return NoRoom{
			NeededTokens: tokens,
			FreeTokens:   chosen[size-1].free,
			Class:        Long,
			Estimate:     estimate,
		}
	}
	group := Group{
		Estimate: estimate,
		Waits:    waits,
		Notice:   p.settings.LongNotice,
	}
	for _, one := range chosen {
		group.Members = append(group.Members, Member{
			Target: one.state.target.ID,
			Tokens: tokens,
		})
	}
	slices.SortFunc(group.Members, func(a, b Member) int {
		if a.Target < b.Target {
			return -1
		}
		return 1
	})
	return group
}
