package placer

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/estimator"
	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Placer tracks the load of targets as known to this instance, and chooses a target for each request.
type Placer struct {
	settings  Settings
	estimator Estimator
	quota     Quota
	distance  Distance
	random    *rand.Rand
	targets   map[namer.Target]*targetState
	pools     map[namer.Model]*pool
	running   map[namer.Request]*placement
	hints     *hints

	centresOutOfService map[namer.DataCentre]bool
	targetsOutOfService map[namer.Target]bool

	// prefixHolders and candidates are buffers reused between decisions.
	prefixHolders []prefixHolder
	candidates    []candidate
}

// targetState is a target with its last summary and the changes made by this instance since.
type targetState struct {
	target Target
	// delay is the one-way network delay to the target.
	delay   time.Duration
	summary Summary
	// pendingTokens are uncached tokens that this instance placed after the summary and that are not yet processed.
	pendingTokens int
	// processedTokens are tokens that the summary counts as queued and that have been processed since.
	processedTokens int
	// reservedTokens is the memory that this instance has reserved since the summary.
	reservedTokens int
	// longPending counts this instance's unfinished long prefills, before and after the summary; longProcessed counts
	// those in the summary that have finished since.
	longPending   int
	longProcessed int
	// nonShortTokens is the memory of this instance's medium and long requests.
	nonShortTokens int
	pool           *pool
	hasLongPrefill bool
}

// pool holds the targets of one model that are in service.
type pool struct {
	targets []*targetState
	// queueTokens is the sum of the reported queues of the counted targets, which are those without a long prefill.
	queueTokens    int
	countedTargets int
	longTargets    int
	// maxCapacity is the memory of the largest target in tokens; group sizes are computed from it.
	maxCapacity int
}

// placement is a request that is accounted for, with one part for each target that it uses.
type placement struct {
	parts []part
	class Class
}

type part struct {
	target         *targetState
	startedAt      time.Time
	uncachedTokens int
	tokens         int
	prefilling     bool
	// reserved is set if the memory was reserved at the owner.
	reserved bool
}

type candidate struct {
	state        *targetState
	cachedTokens int
	estimate     estimator.Estimate
	// score is the predicted time to the first token with the network round trip, plus the decode time for a long prefill;
	// the lowest is best.
	score time.Duration
	// fits is set if the target has room at present.
	fits             bool
	needsReservation bool
	freeTokens       int
	// besideLongPrefill is set if a short request would share the target with a long prefill.
	besideLongPrefill bool
	// waits is set if the target could take the request after a wait for free memory.
	waits bool
	// late is set if the request is predicted to take longer on this target than the time left.
	late bool
}

// SetTarget adds a target or replaces its record.
func (p *Placer) SetTarget(target Target) {
	existing := p.targets[target.ID]
	if existing == nil {
		existing = &targetState{}
		p.targets[target.ID] = existing
	}
	existing.target = target
	existing.delay = p.distance(target.DataCentre)
	p.rebuild()
}

// RemoveTarget removes a target; its running requests stay accounted for until they end.
func (p *Placer) RemoveTarget(id namer.Target) {
	delete(p.targets, id)
	p.rebuild()
}

// SetOutOfService replaces the lists of data centres and targets that are out of service.
func (p *Placer) SetOutOfService(centres []namer.DataCentre, targets []namer.Target) {
	p.centresOutOfService = map[namer.DataCentre]bool{}
	for _, centre := range centres {
		p.centresOutOfService[centre] = true
	}
	p.targetsOutOfService = map[namer.Target]bool{}
	for _, target := range targets {
		p.targetsOutOfService[target] = true
	}
	p.rebuild()
}

// rebuild recomputes the pools. It orders targets by id, so that equal seeds draw equal samples.
func (p *Placer) rebuild() {
	clear(p.pools)
	ids := make([]namer.Target, 0, len(p.targets))
	for id, t := range p.targets {
		t.pool = nil
		if !p.targetsOutOfService[id] && !p.centresOutOfService[t.target.DataCentre] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		t := p.targets[id]
		members := p.pools[t.target.Model]
		if members == nil {
			members = &pool{}
			p.pools[t.target.Model] = members
		}
		t.pool = members
		t.hasLongPrefill = false
		members.targets = append(members.targets, t)
		t.addToPoolQueue(1)
		members.maxCapacity = max(members.maxCapacity, t.target.CapacityTokens)
		t.updateLongPrefill()
	}
}

// addToPoolQueue adds the target's reported queue to its pool's sum (sign 1) or subtracts it (sign -1).
func (s *targetState) addToPoolQueue(sign int) {
	if s.pool == nil || s.summary.LongPrefills > 0 {
		return
	}
	s.pool.queueTokens += sign * s.summary.QueueTokens
	s.pool.countedTargets += sign
}

// updateLongPrefill recomputes whether the target has a long prefill, and updates the pool's count.
func (s *targetState) updateLongPrefill() {
	long := s.longPending > 0 || s.summary.LongPrefills > s.longProcessed
	if s.pool != nil && long != s.hasLongPrefill {
		if long {
			s.pool.longTargets++
		} else {
			s.pool.longTargets--
		}
	}
	s.hasLongPrefill = long
}

// Update replaces the summary of a target, unless the present one is newer.
func (p *Placer) Update(summary Summary) {
	target := p.targets[summary.Target]
	if target == nil || summary.At.Before(target.summary.At) {
		return
	}
	target.addToPoolQueue(-1)
	target.summary = summary
	target.addToPoolQueue(1)
	target.pendingTokens, target.processedTokens, target.reservedTokens, target.longProcessed = 0, 0, 0, 0
	for _, running := range p.running {
		for _, pt := range running.parts {
			if pt.target != target || !pt.startedAt.After(summary.At) {
				continue
			}
			if pt.prefilling {
				target.pendingTokens += pt.uncachedTokens
			}
			if pt.reserved {
				target.reservedTokens += pt.tokens
			}
		}
	}
	target.updateLongPrefill()
}

// Start accounts for a request that was placed by a decision; no request with the same id may be running.
func (p *Placer) Start(now time.Time, id namer.Request, decision Decision) {
	started := &placement{}
	switch d := decision.(type) {
	case SingleTarget:
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
	target.pendingTokens += uncached
	if reserved {
		target.reservedTokens += tokens
	}
	if class != Short {
		target.nonShortTokens += tokens
	}
	if class == Long {
		target.longPending++
		target.updateLongPrefill()
	}
	return append(parts, part{
		target:         target,
		startedAt:      now,
		uncachedTokens: uncached,
		tokens:         tokens,
		prefilling:     true,
		reserved:       reserved,
	})
}

// EndPrefill records the end of a request's prefill.
func (p *Placer) EndPrefill(id namer.Request) {
	running := p.running[id]
	if running == nil {
		return
	}
	for i := range running.parts {
		running.parts[i].endPrefill(running.class)
	}
}

func (p *part) endPrefill(class Class) {
	if !p.prefilling {
		return
	}
	p.prefilling = false
	inSummary := !p.startedAt.After(p.target.summary.At)
	if inSummary {
		p.target.processedTokens += p.uncachedTokens
	} else {
		p.target.pendingTokens -= p.uncachedTokens
	}
	if class == Long {
		p.target.longPending--
		if inSummary {
			p.target.longProcessed++
		}
		p.target.updateLongPrefill()
	}
}

// Finish records the end of a request, successful or not; unknown ids are ignored.
func (p *Placer) Finish(id namer.Request) {
	running := p.running[id]
	if running == nil {
		return
	}
	delete(p.running, id)
	for i := range running.parts {
		pt := &running.parts[i]
		pt.endPrefill(running.class)
		if running.class != Short {
			pt.target.nonShortTokens -= pt.tokens
		}
		if pt.reserved && pt.startedAt.After(pt.target.summary.At) {
			pt.target.reservedTokens -= pt.tokens
		}
	}
}

// Running returns the number of requests that are accounted for.
func (p *Placer) Running() int {
	return len(p.running)
}

// AddHint records a hint that a target caches a prefix; engines report each block of a prefix separately.
func (p *Placer) AddHint(now time.Time, target namer.Target, prefix uint64) {
	p.hints.store(now, target, prefix)
}

// RemoveHint removes the hint that a target caches a prefix.
func (p *Placer) RemoveHint(target namer.Target, prefix uint64) {
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

// Place decides where a request runs. It doesn't account for the request: Start does.
func (p *Placer) Place(now time.Time, r Request) Decision {
	members := p.pools[r.Model]
	if members == nil {
		return Unplaceable{
			NeededTokens: r.Tokens(),
		}
	}
	if size := p.groupSize(r, members); size > 1 {
		return p.placeGroup(now, r, members, size)
	}
	p.collectCandidates(now, r, members)
	best, besideLong := -1, -1 // besideLong is the best target with a long prefill, for a short request
	result := NoRoom{
		NeededTokens: r.Tokens(),
		Class:        p.Classify(r.PromptTokens),
	}
	for i := range p.candidates {
		c := &p.candidates[i]
		result.FreeTokens = max(result.FreeTokens, c.freeTokens)
		if result.Estimate.Total == 0 || c.estimate.Total < result.Estimate.Total {
			result.Estimate = c.estimate
			result.Class = p.Classify(r.PromptTokens - c.cachedTokens)
		}
		switch {
		case !c.fits:
		case c.besideLongPrefill && (besideLong < 0 || c.betterThan(&p.candidates[besideLong])):
			besideLong = i
		case !c.besideLongPrefill && (best < 0 || c.betterThan(&p.candidates[best])):
			best = i
		}
	}
	// Sharing a target with a long prefill is better than missing the deadline.
	if best < 0 || (besideLong >= 0 && p.candidates[best].late && !p.candidates[besideLong].late) {
		best = besideLong
	}
	if best < 0 && r.MayWait {
		best = p.mostFree()
	}
	if best < 0 {
		return result
	}
	c := p.candidates[best]
	uncached := r.PromptTokens - c.cachedTokens
	class := p.Classify(uncached)
	notice := time.Duration(0)
	if class == Long {
		notice = p.settings.LongNotice
		c.estimate.Wait += notice
		c.estimate.Total += notice
	}
	return SingleTarget{
		Target:           c.state.target.ID,
		Class:            class,
		Notice:           notice,
		Estimate:         c.estimate,
		CachedTokens:     c.cachedTokens,
		UncachedTokens:   uncached,
		NeedsReservation: c.needsReservation || c.waits,
		Waits:            c.waits,
	}
}

// mostFree returns the index of the candidate with the most free memory among those that can be waited for, or -1.
func (p *Placer) mostFree() int {
	best := -1
	for i := range p.candidates {
		c := &p.candidates[i]
		if c.waits && (best < 0 || c.freeTokens > p.candidates[best].freeTokens) {
			best = i
		}
	}
	return best
}

// betterThan orders candidates: first those that meet the deadline, then those within the quota, because a reservation costs
// a round trip and takes memory kept free for large requests, and then by score.
func (c *candidate) betterThan(other *candidate) bool {
	if c.late != other.late {
		return !c.late
	}
	if c.needsReservation != other.needsReservation {
		return !c.needsReservation
	}
	return c.score < other.score
}

// collectCandidates fills p.candidates with the targets that cache a prefix of the prompt and a random sample of the others.
func (p *Placer) collectCandidates(now time.Time, r Request, members *pool) {
	p.candidates = p.candidates[:0]
	p.prefixHolders = p.hints.longestHolders(now, r.Prefix, p.prefixHolders[:0])
	for _, h := range p.prefixHolders {
		holder := p.targets[h.target]
		if holder == nil || holder.pool != members || slices.Contains(r.Exclude, h.target) {
			continue
		}
		// The last token of a prompt is always processed, even if the whole prompt is cached.
		cached := min(h.blocks*p.settings.BlockTokens, r.PromptTokens-1)
		p.candidates = append(p.candidates, p.evaluate(now, r, holder, cached))
	}
	holders := len(p.candidates)
	fitting := 0
	for drawn := 0; drawn < min(len(members.targets), p.settings.MaxDraws) && fitting < p.settings.SampleSize; drawn++ {
		// A partial Fisher-Yates shuffle draws without repetition; its cost doesn't depend on the size of the pool.
		other := drawn + p.random.IntN(len(members.targets)-drawn)
		members.targets[drawn], members.targets[other] = members.targets[other], members.targets[drawn]
		t := members.targets[drawn]
		if slices.Contains(r.Exclude, t.target.ID) || p.isCandidate(t, holders) {
			continue
		}
		c := p.evaluate(now, r, t, 0)
		if c.fits {
			fitting++
		}
		p.candidates = append(p.candidates, c)
	}
}

func (p *Placer) isCandidate(t *targetState, holders int) bool {
	for i := range holders {
		if p.candidates[i].state == t {
			return true
		}
	}
	return false
}

// evaluate predicts the cost of a request on a target and whether the target has room for it.
func (p *Placer) evaluate(now time.Time, r Request, target *targetState, cached int) candidate {
	uncached := r.PromptTokens - cached
	class := p.Classify(uncached)
	c := candidate{
		state:             target,
		cachedTokens:      cached,
		besideLongPrefill: class == Short && target.hasLongPrefill,
	}
	c.estimate = p.estimator.Estimate(estimator.Request{
		PromptTokens: r.PromptTokens,
		CachedTokens: cached,
		OutputTokens: r.OutputTokens,
	}, target.target.ID, estimator.Load{
		QueueTokens: p.queueTokens(now, target, class),
		WarmPercent: target.summary.WarmPercent,
	})
	c.late = r.TimeLeft > 0 && c.estimate.Total > r.TimeLeft
	c.score = c.estimate.FirstToken() + 2*target.delay
	if class == Long {
		// The predicted time between tokens grows with the number of streams that a long prefill would slow down.
		c.score += c.estimate.Decode
	}
	if class == Long && !p.longAllowed(target) {
		return c
	}
	memory, prefill := p.quota.Unused(target.target.ID)
	reservable := target.summary.FreeTokens - target.reservedTokens
	if class != Short {
		shortShare := p.settings.ShortMemoryShare
		memory = int(float64(memory) - shortShare*float64(memory+target.nonShortTokens))
	}
	c.freeTokens = max(memory, reservable)
	switch {
	case class != Long && r.Tokens() <= memory && uncached <= prefill:
		c.fits = true
	case r.Tokens() <= reservable:
		// Long prefills always need the owner's reservation, so that two instances cannot start one each on the same target.
		c.fits = true
		c.needsReservation = true
	default:
		c.waits = class != Short
	}
	return c
}

// longAllowed reports whether a target may start a long prefill: it has none, and fewer than LongShare of the model's
// targets have one.
func (p *Placer) longAllowed(target *targetState) bool {
	return !target.hasLongPrefill && target.pool.longTargets < p.longLimit(target.pool)
}

// longLimit returns the number of targets that may have a long prefill at the same time.
func (p *Placer) longLimit(members *pool) int {
	// 1e-9 keeps a product that rounding left just under a whole number from being rounded down.
	return max(1, int(math.Floor(float64(len(members.targets))*p.settings.LongShare+1e-9)))
}

// queueTokens predicts the tokens queued in front of a request. The reported queue is weighted towards the mean of the model
// as the summary ages; placements by this instance since the summary are known exactly and added in full.
func (p *Placer) queueTokens(now time.Time, target *targetState, class Class) int {
	mean := float64(target.pool.queueTokens) / float64(max(target.pool.countedTargets, 1))
	reported := float64(max(target.summary.QueueTokens-target.processedTokens, 0))
	age := min(float64(now.Sub(target.summary.At))/float64(p.settings.LoadMaxAge), 1)
	if target.hasLongPrefill && class == Short {
		// Short requests have priority over the long prefill, which is most of such a queue.
		reported = min(reported, mean)
	}
	return int(reported+age*(mean-reported)) + max(target.pendingTokens, 0)
}

// groupSize returns how many targets must hold a request together.
func (p *Placer) groupSize(r Request, members *pool) int {
	share := p.settings.GroupShare * float64(members.maxCapacity)
	return int(math.Ceil(float64(r.Tokens()) / share))
}

// placeGroup chooses the members of a group: the targets with the most free memory.
func (p *Placer) placeGroup(now time.Time, r Request, members *pool, size int) Decision {
	tokens := (r.Tokens() + size - 1) / size
	capable := 0
	p.candidates = p.candidates[:0]
	for _, t := range members.targets {
		if !t.target.GroupContext || float64(tokens) > p.settings.GroupShare*float64(t.target.CapacityTokens) ||
			slices.Contains(r.Exclude, t.target.ID) {
			continue
		}
		capable++
		p.candidates = append(p.candidates, candidate{
			state:      t,
			freeTokens: t.summary.FreeTokens - t.reservedTokens,
			fits:       !t.hasLongPrefill && tokens <= t.summary.FreeTokens-t.reservedTokens,
		})
	}
	if capable < size {
		return Unplaceable{
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
			return b.freeTokens - a.freeTokens
		}
	})
	chosen := p.candidates[:size]
	estimate := p.estimator.Estimate(estimator.Request{
		PromptTokens: r.PromptTokens / size,
		OutputTokens: r.OutputTokens,
	}, chosen[0].state.target.ID, estimator.Load{
		QueueTokens: p.queueTokens(now, chosen[0].state, Long),
		WarmPercent: chosen[0].state.summary.WarmPercent,
	})
	estimate.Tokens = tokens
	estimate.Wait += p.settings.LongNotice
	estimate.Total += p.settings.LongNotice
	// A group may exceed LongShare if no other long prefill runs; otherwise a large group could never start.
	waits := !chosen[size-1].fits
	if (waits && !r.MayWait) || (members.longTargets > 0 && members.longTargets+size > p.longLimit(members)) {
		return NoRoom{
			NeededTokens: tokens,
			FreeTokens:   chosen[size-1].freeTokens,
			Class:        Long,
			Estimate:     estimate,
		}
	}
	group := Group{
		Estimate: estimate,
		Waits:    waits,
		Notice:   p.settings.LongNotice,
	}
	for _, t := range chosen {
		group.Members = append(group.Members, Member{
			Target: t.state.target.ID,
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
