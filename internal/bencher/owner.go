package bencher

import (
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/placer"
)

// The fake owner follows the rule of the design: quotas in use, reservations and a part that is not
// allocated in advance never exceed the authority over the target.
const (
	authorityTokens  = engineTokens * 96 / 100
	keptTokens       = authorityTokens / 5
	nonShortTokens   = authorityTokens * 85 / 100
	prefillAuthority = 64_000
	quotaMinimum     = 6_000
	quotaHeadroom    = 16_000
	heartbeat        = time.Second
	pollInterval     = 200 * time.Millisecond
)

type owner struct {
	engine   *engine
	home     *instance
	quotas   []int // by instance
	used     []int
	reserved map[namer.Request]grant
	total    int
	nonShort int
	waiting  []*waiter
	// queue, longs and polledAt are what the last poll of the engine showed.
	queue    int
	longs    int
	polledAt time.Time
}

type grant struct {
	tokens   int
	nonShort bool
	long     bool
}

type waiter struct {
	request namer.Request
	grant   grant
	answer  func(granted bool)
	expires time.Time
}

func (o *owner) quotaSum() int {
	sum := 0
	for i := range o.quotas {
		sum += max(o.quotas[i], o.used[i])
	}
	return sum
}

func (o *owner) free() int {
	return authorityTokens - o.quotaSum() - o.total
}

// renew adapts the quota of one recipient to its demand.
func (o *owner) renew(i int) {
	others := o.quotaSum() - max(o.quotas[i], o.used[i])
	available := min(authorityTokens-o.total-others, authorityTokens-keptTokens-others)
	wanted := max(quotaMinimum, o.used[i]+max(quotaHeadroom, o.used[i]/2))
	if len(o.waiting) > 0 {
		wanted = max(quotaMinimum, o.used[i])
	}
	o.quotas[i] = max(o.used[i], min(wanted, available))
	o.serve()
}

func (o *owner) longGranted() int {
	count := 0
	for _, one := range o.reserved {
		if one.long {
			count++
		}
	}
	return count
}

func (o *owner) grantable(g grant) bool {
	if g.long && o.longGranted() > 0 {
		return false
	}
	return g.tokens <= o.free() && (!g.nonShort || o.nonShort+g.tokens <= nonShortTokens)
}

func (o *owner) reserve(request namer.Request, g grant, wait time.Duration, answer func(bool)) {
	if len(o.waiting) == 0 && o.grantable(g) {
		o.grant(request, g)
		answer(true)
		return
	}
	if wait <= 0 || (g.long && o.longGranted() > 0) {
		answer(false)
		return
	}
	one := &waiter{
		request: request,
		grant:   g,
		answer:  answer,
		expires: o.engine.loop.now().Add(wait),
	}
	o.waiting = append(o.waiting, one)
	o.engine.loop.after(wait, func() {
		if place := slices.Index(o.waiting, one); place >= 0 {
			o.waiting = slices.Delete(o.waiting, place, place+1)
			one.answer(false)
			o.serve()
		}
	})
}

func (o *owner) grant(request namer.Request, g grant) {
	o.reserved[request] = g
	o.total += g.tokens
	if g.nonShort {
		o.nonShort += g.tokens
	}
}

// serve grants waiting reservations in order.
func (o *owner) serve() {
	for len(o.waiting) > 0 && o.grantable(o.waiting[0].grant) {
		first := o.waiting[0]
		o.waiting = o.waiting[1:]
		o.grant(first.request, first.grant)
		first.answer(true)
	}
}

func (o *owner) release(request namer.Request) {
	g, found := o.reserved[request]
	if !found {
		return
	}
	delete(o.reserved, request)
	o.total -= g.tokens
	if g.nonShort {
		o.nonShort -= g.tokens
	}
	o.serve()
}

// poll reads the engine's load and request list.
func (o *owner) poll() {
	o.polledAt = o.engine.loop.now()
	o.queue = o.engine.queueTokens()
	for _, one := range o.engine.jobs {
		if g, found := o.reserved[one.request.id]; found && g.long && one.prefilled {
			g.long = false
			o.reserved[one.request.id] = g
		}
	}
	o.longs = o.longGranted()
	o.serve()
}

func (o *owner) summary() placer.Summary {
	free := o.free()
	longs := o.longs
	for _, one := range o.waiting {
		free -= one.grant.tokens
		if one.grant.long {
			longs++
		}
	}
	return placer.Summary{
		Target:       o.engine.id,
		FreeTokens:   max(free, 0),
		QueueTokens:  o.queue,
		WarmPercent:  100,
		LongPrefills: longs,
		At:           o.polledAt,
	}
}
