package sizer

import (
	"math"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/matcher"
	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Settings are the tuning parameters of a sizer.
type Settings struct {
	// Utilisation is the share of the engines' time that the prefill of prompts may take; above it prompts wait for each other.
	Utilisation float64
	// LossUtilisation is that share after the loss of Losses data centres.
	LossUtilisation float64
	Losses          int
	// SlotShare is the share of the engines' slots that requests may take.
	SlotShare float64
	// IdleEngines is the number of idle engines that may be paid for each one that callers lack. It bounds an order that the platform's
	// minimum makes larger than needed.
	IdleEngines float64
	// DemandTime and TrendTime are the time constants of the fast and the slow moving average of the demand.
	DemandTime time.Duration
	TrendTime  time.Duration
	// MaxGrowth limits the demand expected after the start time of an engine, as a multiple of the present one.
	MaxGrowth float64
	// PeakTime is how long a past peak keeps its engines.
	PeakTime time.Duration
	// RaiseMargin is the share by which the number exceeds the need after an order, so that a small rise needs no further one, and
	// RaiseInterval the time between two raises.
	RaiseMargin   float64
	RaiseInterval time.Duration
	// LowerAfter is how long after a raise, or after this instance took the duty, the number is not lowered.
	LowerAfter time.Duration
	// LowerInterval is the time between two steps down, and LowerShare the share of the engines that one step takes.
	LowerInterval time.Duration
	LowerShare    float64
	// StartSlack is how much later than announced ordered engines may appear before they are ordered again.
	StartSlack time.Duration
	// RepeatInterval is the time until an order without a good answer is repeated.
	RepeatInterval time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Utilisation:     0.6,
		LossUtilisation: 0.9,
		SlotShare:       0.75,
		IdleEngines:     4,
		DemandTime:      4 * time.Second,
		TrendTime:       12 * time.Second,
		MaxGrowth:       1.25,
		PeakTime:        time.Minute,
		RaiseMargin:     0.1,
		RaiseInterval:   time.Second,
		LowerAfter:      30 * time.Second,
		LowerInterval:   10 * time.Second,
		LowerShare:      0.1,
		StartSlack:      3 * time.Second,
		RepeatInterval:  time.Second,
	}
}

// Demand is what callers ask of a service.
type Demand struct {
	// Offered is the prefill time of all prompts since the first observation, on one engine, whether they were admitted or not.
	Offered time.Duration
	// Waiting is the prefill time of the prompts in the queue.
	Waiting time.Duration
	// Requests is the number of requests that run or wait.
	Requests int
}

// Centre holds the engines of a service in one data centre.
type Centre struct {
	DataCentre namer.DataCentre
	// Present counts the engines that take work, including cold ones.
	Present int
	// Leaving counts the engines that take no new work and finish what they have.
	Leaving int
	// Evacuated is set while the data centre takes no work.
	Evacuated bool
}

// Order asks for a number of engines in one data centre.
type Order struct {
	DataCentre namer.DataCentre
	Count      int
	// Present is the number of engines when the order was decided, Wanted the number that callers need in all data centres, and Reason the
	// cause of the order.
	Present int
	Wanted  int
	Reason  Reason
}

// Reason is why an order is due.
type Reason string

// Reasons of orders.
const (
	// Raise means that callers need more engines.
	Raise Reason = "raise"
	// Lower means that fewer engines are enough.
	Lower Reason = "lower"
	// Repeat means that an order has had no good answer.
	Repeat Reason = "repeat"
)

// Outcome is the answer to an order.
type Outcome string

// Outcomes of orders.
const (
	// Accepted means that the platform took the order.
	Accepted Outcome = "accepted"
	// Refused means that the platform turned the order away.
	Refused Outcome = "refused"
	// Lost means that no answer came; the platform may have taken the order.
	Lost Outcome = "lost"
)

// Sizer decides on the number of engines of one service. It knows only what it has observed since Begin.
type Sizer struct {
	settings Settings
	// slots is the number of requests that one engine answers at a time.
	slots   int
	scaling matcher.Scaling
	began   time.Time
	// first and observed are the times of the first and the latest observation.
	first    time.Time
	observed time.Time
	offered  time.Duration
	demand   Demand
	// fast and slow are moving averages of the prefill time offered per second.
	fast float64
	slow float64
	// peaks holds the highest need, in engines, of each of the latest parts of PeakTime.
	peaks    [peakParts]float64
	peakPart int64
	// orders holds the latest order for each data centre.
	orders map[namer.DataCentre]*placed
	raised time.Time
	// steady holds the least numbers of engines in this and in the previous period of LowerAfter; period is the number of this one.
	steady [2]map[namer.DataCentre]int
	period int64
	// lowered is when the last step down was decided.
	lowered time.Time
}

// placed is an order that was handed out.
type placed struct {
	count int
	at    time.Time
	// outcome is empty until the answer is known.
	outcome Outcome
	raise   bool
}

// New returns a sizer for a service; the caller must call Begin when this instance takes the duty.
func New(settings Settings, scaling matcher.Scaling, slots int) *Sizer {
	return &Sizer{
		settings: settings,
		scaling:  scaling,
		slots:    slots,
		orders:   map[namer.DataCentre]*placed{},
	}
}

// SetScaling replaces the limits and the start time of engines, after a change of the rules.
func (s *Sizer) SetScaling(scaling matcher.Scaling, slots int) {
	s.scaling = scaling
	s.slots = slots
}

// Begin starts anew, from the engines that are there: what an earlier holder of the duty has ordered isn't known.
func (s *Sizer) Begin(now time.Time) {
	*s = *New(s.settings, s.scaling, s.slots)
	s.began = now
}

// Observe records the demand.
func (s *Sizer) Observe(now time.Time, d Demand) {
	s.demand = d
	if s.observed.IsZero() || d.Offered < s.offered {
		s.first, s.observed, s.offered = now, now, d.Offered
		return
	}
	elapsed := now.Sub(s.observed)
	if elapsed <= 0 {
		return
	}
	rate := (d.Offered - s.offered).Seconds() / elapsed.Seconds()
	// Until the time constant has passed, the average is that of all observations.
	first := elapsed.Seconds() / now.Sub(s.first).Seconds()
	s.fast += (rate - s.fast) * max(first, decay(elapsed, s.settings.DemandTime))
	s.slow += (rate - s.slow) * max(first, decay(elapsed, s.settings.TrendTime))
	s.observed, s.offered = now, d.Offered
}

// peakParts is the number of parts of PeakTime whose peaks are forgotten one by one.
const peakParts = 12

// peak records a need and returns the highest one within PeakTime.
func (s *Sizer) peak(now time.Time, need float64) float64 {
	part := int64(now.Sub(s.began) / (s.settings.PeakTime / peakParts))
	for ; s.peakPart < part; s.peakPart++ {
		s.peaks[(s.peakPart+1)%peakParts] = 0
	}
	s.peaks[part%peakParts] = max(s.peaks[part%peakParts], need)
	return slices.Max(s.peaks[:])
}

// decay returns the weight of the latest sample in a moving average.
func decay(elapsed, constant time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/constant.Seconds())
}

// Rate returns the prefill time offered per second.
func (s *Sizer) Rate() float64 {
	return s.fast
}

// expected returns the prefill time per second to be expected once an engine that is ordered now has started. What waits in the queue is
// to be done by then, too.
func (s *Sizer) expected() float64 {
	boot := max(s.scaling.StartTime, time.Second).Seconds()
	growth := (s.fast - s.slow) / (s.settings.TrendTime - s.settings.DemandTime).Seconds() * boot
	rate := min(s.fast+max(0, growth), s.settings.MaxGrowth*s.fast)
	return rate + s.demand.Waiting.Seconds()/boot
}

// needed returns the number of engines for the demand, in the data centres that take work; more of them than are out already may be lost.
func (s *Sizer) needed(active, out int) float64 {
	rate := s.expected()
	engines := max(rate/s.settings.Utilisation, float64(s.demand.Requests)/(s.settings.SlotShare*float64(max(1, s.slots))))
	if lost := min(s.settings.Losses-out, active-1); lost > 0 {
		engines = max(engines, rate/s.settings.LossUtilisation*float64(active)/float64(active-lost))
	}
	return max(engines, 1)
}

// Decide returns the orders that are due. Each is handed out until Answered is called, and again if the answer wasn't good.
func (s *Sizer) Decide(now time.Time, centres []Centre) (orders []Order, wanted int) {
	active, out := 0, 0
	for _, c := range centres {
		if c.Evacuated {
			out++
			continue
		}
		active++
	}
	// An average over less time follows single prompts.
	if active == 0 || s.observed.Sub(s.first) < s.settings.DemandTime {
		return nil, 0
	}
	need := s.needed(active, out)
	wanted = int(math.Ceil(s.peak(now, need)))
	s.recordSteady(now, centres)
	total := 0
	for _, c := range centres {
		if !c.Evacuated {
			total += c.Present
		}
	}
	for _, c := range centres {
		if o := s.repeat(now, c, float64(total) < need); o != nil {
			o.Wanted = wanted
			orders = append(orders, *o)
		}
	}
	if len(orders) > 0 {
		return orders, wanted
	}
	raises := s.raise(now, centres, need)
	if len(raises) == 0 && s.mayLower(now) {
		raises = s.lower(now, centres, wanted)
	}
	for i := range raises {
		raises[i].Wanted = wanted
	}
	return raises, wanted
}

// repeat returns the order for a data centre again if its answer wasn't good and callers still lack engines. Otherwise the order is
// forgotten, and the next one follows from the engines that are there.
func (s *Sizer) repeat(now time.Time, c Centre, lacking bool) *Order {
	p := s.orders[c.DataCentre]
	if p == nil || p.outcome != Lost && p.outcome != Refused || now.Sub(p.at) < s.settings.RepeatInterval {
		return nil
	}
	if !p.raise || !lacking || c.Evacuated {
		delete(s.orders, c.DataCentre)
		return nil
	}
	p.at, p.outcome = now, ""
	return &Order{
		DataCentre: c.DataCentre,
		Count:      p.count,
		Present:    c.Present,
		Reason:     Repeat,
	}
}

// coming returns the number of engines of a data centre once those on order have started. Engines that are overdue don't count.
func (s *Sizer) coming(now time.Time, c Centre) int {
	p := s.orders[c.DataCentre]
	if p != nil && p.raise && now.Sub(p.at) < s.scaling.StartTime+s.settings.StartSlack {
		return max(c.Present, p.count)
	}
	return c.Present
}

// raise returns the orders for the engines that callers lack, in the data centres with the fewest. None is due if the platform's minimum
// makes them cost more than the lack.
func (s *Sizer) raise(now time.Time, centres []Centre, need float64) []Order {
	counts := make([]int, len(centres))
	total := 0
	for i, c := range centres {
		if !c.Evacuated {
			counts[i] = s.coming(now, c)
			total += counts[i]
		}
	}
	if need <= float64(total) || now.Sub(s.raised) < s.settings.RaiseInterval {
		return nil
	}
	planned, idle := s.fill(centres, slices.Clone(counts), total, need*(1+s.settings.RaiseMargin))
	if float64(idle) > math.Ceil(need-float64(total))*s.settings.IdleEngines {
		return nil
	}
	var orders []Order
	for i, c := range centres {
		if planned[i] > counts[i] {
			s.raised = now
			orders = append(orders, s.order(now, c, planned[i], Raise))
		}
	}
	return orders
}

// fill adds engines where they are fewest until their number reaches the goal. Data centres with an order that isn't accepted yet are
// left out, so that its repetition asks for the same number. It returns the new numbers, and the engines among them that only the
// platform's minimum adds.
func (s *Sizer) fill(centres []Centre, counts []int, total int, goal float64) (planned []int, idle int) {
	for float64(total) < goal {
		least := -1
		for i, c := range centres {
			p := s.orders[c.DataCentre]
			open := p != nil && p.raise && p.outcome != Accepted
			if !c.Evacuated && !open && counts[i] < s.scaling.Maximum && (least < 0 || counts[i] < counts[least]) {
				least = i
			}
		}
		if least < 0 {
			break
		}
		more := max(counts[least]+1, s.scaling.Minimum) - counts[least]
		counts[least] += more
		total += more
		idle += more - 1
	}
	return counts, idle
}

// mayLower reports whether the number has been steady for long enough, and the last step down is past.
func (s *Sizer) mayLower(now time.Time) bool {
	return now.Sub(s.began) >= s.settings.LowerAfter && now.Sub(s.raised) >= s.settings.LowerAfter &&
		now.Sub(s.lowered) >= s.settings.LowerInterval
}

// recordSteady records the least number of engines in each data centre. While engines are replaced, their entries and those of their
// successors stand side by side, and an order by their sum would add engines.
func (s *Sizer) recordSteady(now time.Time, centres []Centre) {
	if period := int64(now.Sub(s.began) / s.settings.LowerAfter); period != s.period || s.steady[0] == nil {
		s.period = period
		s.steady = [2]map[namer.DataCentre]int{{}, s.steady[0]}
	}
	for _, c := range centres {
		least, found := s.steady[0][c.DataCentre]
		if !found || c.Present < least {
			s.steady[0][c.DataCentre] = c.Present
		}
	}
}

// lasting returns the number of engines of a data centre that have been there for LowerAfter at least.
func (s *Sizer) lasting(c Centre) int {
	return min(c.Present, s.steady[0][c.DataCentre], s.steady[1][c.DataCentre])
}

// lower returns the order for one step down, in the data centre with the most engines. While engines leave, none is due: what they had to do
// is still to be done by the others.
func (s *Sizer) lower(now time.Time, centres []Centre, wanted int) []Order {
	most := -1
	total := 0
	for i, c := range centres {
		if c.Leaving > 0 {
			return nil
		}
		if c.Evacuated {
			continue
		}
		total += s.lasting(c)
		if s.lasting(c) > s.scaling.Minimum && (most < 0 || s.lasting(c) > s.lasting(centres[most])) {
			most = i
		}
	}
	goal := int(math.Ceil(float64(wanted) * (1 + s.settings.RaiseMargin)))
	if most < 0 || total <= goal {
		return nil
	}
	c := centres[most]
	lasting := s.lasting(c)
	step := min(total-goal, max(1, int(s.settings.LowerShare*float64(total))), lasting-s.scaling.Minimum)
	s.lowered = now
	return []Order{s.order(now, c, lasting-step, Lower)}
}

func (s *Sizer) order(now time.Time, c Centre, count int, reason Reason) Order {
	s.orders[c.DataCentre] = &placed{
		count: count,
		at:    now,
		raise: reason == Raise,
	}
	return Order{
		DataCentre: c.DataCentre,
		Count:      count,
		Present:    c.Present,
		Reason:     reason,
	}
}

// Answered records the answer to the latest order for a data centre.
func (s *Sizer) Answered(centre namer.DataCentre, count int, outcome Outcome) {
	if p := s.orders[centre]; p != nil && p.count == count {
		p.outcome = outcome
	}
}
