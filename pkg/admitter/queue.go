package admitter

import (
	"cmp"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/placer"
)

const classCount = int(placer.Long) + 1

// headTimeWeight is the weight of one observation in the moving average of the time at the head of a queue.
const headTimeWeight = 0.1

// modelQueues holds the queues and the running requests of one model. Customers share it by start-time fair queueing.
type modelQueues struct {
	classes [classCount]classQueue
	// length is the number of queued requests of all classes.
	length int
	runs   []*run // ordered by predicted end
	// virtualTime is the start tag of the request admitted last.
	virtualTime float64
	// finishTags holds each customer's finish tag: the virtual time at which its last admitted request ends, counted in
	// tokens divided by weight.
	finishTags map[namer.Customer]float64
	// releasedTokens is a decaying sum of the tokens released at the time releasedAt; it predicts releases beyond those of
	// the running requests.
	releasedTokens float64
	releasedAt     time.Time
}

// classQueue is the queue of one length class, with one flow for each customer.
type classQueue struct {
	flows []*flow
	// length is the number of queued requests, and tokens is their memory.
	length int
	tokens int
	// headTime is the average time in seconds that a request is first in the queue, and headSince is when the present one
	// became first. They predict the wait when something other than memory is the bottleneck.
	headTime  float64
	headSince time.Time
}

// flow holds the queued requests of one customer in one class.
type flow struct {
	customer namer.Customer
	items    []*item // ordered by latest start
}

// item is a queued request.
type item struct {
	request Request
	class   placer.Class
	// latestStart is the last time at which a start is predicted to meet the deadline.
	latestStart time.Time
	// notBefore is the end of the backoff after a declined reservation; it is zero before the first one.
	notBefore time.Time
}

// run is an admitted request that has not finished.
type run struct {
	request      Request
	admitted     time.Time
	predictedEnd time.Time
	tokens       int
}

// isRaised reports whether a request has used so much of its time that it goes before all that have not, whatever their
// class.
func (i *item) isRaised(now time.Time, share float64) bool {
	return i.request.usedShare(now) >= share
}

// usedShare returns the used share of the time between arrival and deadline.
func (r Request) usedShare(now time.Time) float64 {
	total := r.Deadline.Sub(r.Arrived)
	if total <= 0 {
		return 1
	}
	return float64(now.Sub(r.Arrived)) / float64(total)
}

func (m *modelQueues) push(now time.Time, added *item) {
	queue := &m.classes[added.class]
	if queue.length == 0 {
		queue.headSince = now
	}
	queue.length++
	queue.tokens += added.request.Tokens()
	m.length++
	name := added.request.Customer
	index := slices.IndexFunc(queue.flows, func(f *flow) bool {
		return f.customer == name
	})
	if index < 0 {
		// An idle customer earns no credit: its tag starts at the present virtual time.
		m.finishTags[name] = max(m.finishTags[name], m.virtualTime)
		index = len(queue.flows)
		queue.flows = append(queue.flows, &flow{
			customer: name,
		})
	}
	f := queue.flows[index]
	position, _ := slices.BinarySearchFunc(f.items, added, func(a, b *item) int {
		if order := a.latestStart.Compare(b.latestStart); order != 0 {
			return order
		}
		return cmp.Compare(a.request.ID, b.request.ID)
	})
	f.items = slices.Insert(f.items, position, added)
}

func (m *modelQueues) remove(removed *item) {
	queue := &m.classes[removed.class]
	for i, f := range queue.flows {
		position := slices.Index(f.items, removed)
		if position < 0 {
			continue
		}
		f.items = slices.Delete(f.items, position, position+1)
		if len(f.items) == 0 {
			queue.flows = slices.Delete(queue.flows, i, i+1)
		}
		queue.length--
		queue.tokens -= removed.request.Tokens()
		m.length--
		return
	}
}

// charge advances the finish tag of a customer by the tokens admitted, divided by its weight.
func (m *modelQueues) charge(name namer.Customer, tokens int, weight float64) {
	start := max(m.finishTags[name], m.virtualTime)
	m.virtualTime = start
	m.finishTags[name] = start + float64(tokens)/weight
	if len(m.finishTags) > 2*finishTagLimit {
		for other, tag := range m.finishTags {
			if tag <= m.virtualTime {
				delete(m.finishTags, other)
			}
		}
	}
}

// finishTagLimit bounds the finish tags: above twice this number, those behind the virtual time are deleted, since they no
// longer affect the order.
const finishTagLimit = 1_000

// sortFlows sorts the flows by finish tag, so that the customer with the least service by weight comes first.
func (q *classQueue) sortFlows(m *modelQueues) {
	slices.SortStableFunc(q.flows, func(a, b *flow) int {
		if byTag := cmp.Compare(m.finishTags[a.customer], m.finishTags[b.customer]); byTag != 0 {
			return byTag
		}
		return cmp.Compare(a.customer, b.customer)
	})
}

// observeHeadTime updates the average time at the head when the request there is admitted.
func (q *classQueue) observeHeadTime(now time.Time) {
	atHead := now.Sub(q.headSince).Seconds()
	if q.headTime == 0 {
		q.headTime = atHead
	}
	q.headTime += headTimeWeight * (atHead - q.headTime)
	q.headSince = now
}

func (m *modelQueues) start(started *run) {
	position, _ := slices.BinarySearchFunc(m.runs, started, func(a, b *run) int {
		return a.predictedEnd.Compare(b.predictedEnd)
	})
	m.runs = slices.Insert(m.runs, position, started)
}

// releaseWindow is the time constant with which releasedTokens decays.
const releaseWindow = 5 * time.Second

func (m *modelQueues) finish(now time.Time, ended *run) {
	position := slices.Index(m.runs, ended)
	m.runs = slices.Delete(m.runs, position, position+1)
	m.decay(now)
	m.releasedTokens += float64(ended.tokens)
}

// decay reduces releasedTokens by the time passed since the last call.
func (m *modelQueues) decay(now time.Time) {
	elapsed := now.Sub(m.releasedAt)
	m.releasedAt = now
	if elapsed >= 10*releaseWindow {
		m.releasedTokens = 0
		return
	}
	// 1/(1+x) approximates exp(-x) well enough for steps much shorter than the window.
	m.releasedTokens /= 1 + elapsed.Seconds()/releaseWindow.Seconds()
}

// timeToRelease predicts the time until a number of tokens are released, first by the running requests and then at the
// observed release rate. Without an observed rate it adds oneRun, the run time of one request. The result is at most limit.
func (m *modelQueues) timeToRelease(now time.Time, needed int, oneRun, limit time.Duration) time.Duration {
	latest := time.Duration(0)
	for _, r := range m.runs {
		if needed <= 0 {
			return latest
		}
		latest = max(latest, r.predictedEnd.Sub(now))
		if latest > limit {
			return limit
		}
		needed -= r.tokens
	}
	if needed <= 0 {
		return latest
	}
	m.decay(now)
	rate := m.releasedTokens / releaseWindow.Seconds()
	if rate <= 0 {
		return min(latest+oneRun, limit)
	}
	return min(latest+time.Duration(float64(needed)/rate*float64(time.Second)), limit)
}
