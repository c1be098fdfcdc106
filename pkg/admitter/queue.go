package admitter

import (
	"cmp"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/placer"
)

// classes is the number of length classes.
const classes = int(placer.Long) + 1

// headWeight is the share of one observation in the average time at the head of a queue.
const headWeight = 0.1

// model holds the queues and running requests of one model.
type model struct {
	classes [classes]classQueue
	length  int
	runs    []*run // by predicted end
	// virtual is the start tag of the customer served last.
	virtual float64
	served  map[namer.Customer]float64
	// released is a decaying sum of tokens released, for predictions beyond the running requests.
	released   float64
	releasedAt time.Time
}

// classQueue is the queue of one class, one flow for each customer.
type classQueue struct {
	flows  []*flow
	length int
	tokens int
	// headTime is the average time a request spent at the head, and headSince when the present
	// head came there; they predict the wait when something other than memory is the bottleneck.
	headTime  float64
	headSince time.Time
}

type flow struct {
	customer namer.Customer
	items    []*item // by latest start
}

type item struct {
	request     Request
	class       placer.Class
	latestStart time.Time
	notBefore   time.Time
}

type run struct {
	request  Request
	admitted time.Time
	ends     time.Time
	tokens   int
}

// raised reports whether a request has used so much of its time that it goes first.
func (i *item) raised(now time.Time, share float64) bool {
	return i.request.used(now) >= share
}

// used returns the used share of a request's time.
func (r Request) used(now time.Time) float64 {
	whole := r.Deadline.Sub(r.Arrived)
	if whole <= 0 {
		return 1
	}
	return float64(now.Sub(r.Arrived)) / float64(whole)
}

func (m *model) push(now time.Time, added *item) {
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
		// A customer that was idle starts level with the others; it can't save up service.
		m.served[name] = max(m.served[name], m.virtual)
		index = len(queue.flows)
		queue.flows = append(queue.flows, &flow{
			customer: name,
		})
	}
	one := queue.flows[index]
	place, _ := slices.BinarySearchFunc(one.items, added, func(a, b *item) int {
		if order := a.latestStart.Compare(b.latestStart); order != 0 {
			return order
		}
		return cmp.Compare(a.request.ID, b.request.ID)
	})
	one.items = slices.Insert(one.items, place, added)
}

func (m *model) remove(removed *item) {
	queue := &m.classes[removed.class]
	for i, one := range queue.flows {
		place := slices.Index(one.items, removed)
		if place < 0 {
			continue
		}
		one.items = slices.Delete(one.items, place, place+1)
		if len(one.items) == 0 {
			queue.flows = slices.Delete(queue.flows, i, i+1)
		}
		queue.length--
		queue.tokens -= removed.request.Tokens()
		m.length--
		return
	}
}

// charge advances the virtual time of a customer by the tokens it was served.
func (m *model) charge(name namer.Customer, tokens int, weight float64) {
	start := max(m.served[name], m.virtual)
	m.virtual = start
	m.served[name] = start + float64(tokens)/weight
	if len(m.served) > 2*servedKept {
		for other, tag := range m.served {
			if tag <= m.virtual {
				delete(m.served, other)
			}
		}
	}
}

// servedKept bounds the virtual times kept; those in the past carry no information.
const servedKept = 1_000

// order sorts the flows by service received.
func (q *classQueue) order(m *model) {
	slices.SortStableFunc(q.flows, func(a, b *flow) int {
		if order := cmp.Compare(m.served[a.customer], m.served[b.customer]); order != 0 {
			return order
		}
		return cmp.Compare(a.customer, b.customer)
	})
}

// took learns the time at the head from a request that was admitted.
func (q *classQueue) took(now time.Time) {
	spent := now.Sub(q.headSince).Seconds()
	if q.headTime == 0 {
		q.headTime = spent
	}
	q.headTime += headWeight * (spent - q.headTime)
	q.headSince = now
}

func (m *model) start(started *run) {
	place, _ := slices.BinarySearchFunc(m.runs, started, func(a, b *run) int {
		return a.ends.Compare(b.ends)
	})
	m.runs = slices.Insert(m.runs, place, started)
}

// releaseWindow is the time constant of the release rate.
const releaseWindow = 5 * time.Second

func (m *model) finish(now time.Time, ended *run) {
	place := slices.Index(m.runs, ended)
	m.runs = slices.Delete(m.runs, place, place+1)
	m.decay(now)
	m.released += float64(ended.tokens)
}

func (m *model) decay(now time.Time) {
	past := now.Sub(m.releasedAt)
	m.releasedAt = now
	if past >= 10*releaseWindow {
		m.released = 0
		return
	}
	// The linear form of the exponential decay is close enough for steps well under the window.
	m.released /= 1 + past.Seconds()/releaseWindow.Seconds()
}

// releaseAfter predicts the time until running requests have released a number of tokens. While
// nothing is known of releases, one run of a request is the best guess.
func (m *model) releaseAfter(now time.Time, needed int, oneRun, limit time.Duration) time.Duration {
	last := time.Duration(0)
	for _, one := range m.runs {
		if needed <= 0 {
			return last
		}
		last = max(last, one.ends.Sub(now))
		if last > limit {
			return limit
		}
		needed -= one.tokens
	}
	if needed <= 0 {
		return last
	}
	m.decay(now)
	rate := m.released / releaseWindow.Seconds()
	if rate <= 0 {
		return min(last+oneRun, limit)
	}
	return min(last+time.Duration(float64(needed)/rate*float64(time.Second)), limit)
}
