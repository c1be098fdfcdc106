package coordinator

import (
	"context"
	"errors"
	"time"

	"bergamothollow.example/bergamothollow/pkg/convener"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/tallier"
)

// requestBegan reports that an engine has begun a request.
type requestBegan struct {
	customer namer.Customer
}

func (requestBegan) message() {}

// countsMessage tells a leader how many requests engines have begun, by window, process and customer.
type countsMessage struct {
	Counts tallier.Tally `json:"counts"`
}

// Began reports that an engine has begun a request of a customer; each request is reported once.
func (c *Coordinator) Began(customer namer.Customer) {
	if c.options.Duties == nil || !c.options.Duties.Usage || customer == "" {
		return
	}
	c.messages <- requestBegan{
		customer: customer,
	}
}

// trueTime returns the time by which windows are told apart.
func (c *Coordinator) trueTime() time.Time {
	return c.duties.clock.Read(c.options.Duties.Elapsed(), c.options.Clock.Now())
}

// sentTime returns the time for a message to a peer, 0 if none is needed.
func (c *Coordinator) sentTime() int64 {
	if c.options.Duties == nil || !c.options.Duties.Usage {
		return 0
	}
	return c.trueTime().UnixMilli()
}

// nextWindow returns the first window whose count isn't final, 0 unless usage is counted.
func (c *Coordinator) nextWindow() int64 {
	if c.options.Duties == nil || !c.options.Duties.Usage {
		return 0
	}
	return c.duties.tallier.Next()
}

// hearNextWindow records the first window whose count isn't final, as the leader knows it: a restored store may lack final counts, and the
// leader may end before it has stored them again.
func (c *Coordinator) hearNextWindow(next int64) {
	if c.options.Duties != nil && c.options.Duties.Usage {
		c.duties.tallier.Skip(next)
	}
}

// skipLostWindows leaves out the windows of which the last holder may have sent reports that a restored store lacks. Their counts at this
// instance may differ, and a window must not be reported with two contents.
func (c *Coordinator) skipLostWindows() {
	d := &c.duties
	next := d.tallier.Next()
	if next >= d.firstOpen {
		return
	}
	d.tallier.Skip(d.firstOpen)
	if next > 0 {
		c.options.Log.Warn().Int64("from", next).Int64("next", d.firstOpen).
			Msg("duties: the former holder's record is lost, windows that it may have reported are left out")
	}
}

// hearTime records the time that a peer has sent.
func (c *Coordinator) hearTime(l *link, sent int64) {
	if sent != 0 && c.sentTime() != 0 {
		l.ahead, l.hasClock = time.UnixMilli(sent).Sub(c.trueTime()), true
	}
}

// compareClocks sets the clock by those of the followers, if it is far from most, or by that of the leader.
func (c *Coordinator) compareClocks() {
	var ahead []time.Duration
	for l := range c.followers {
		if l.hasClock {
			ahead = append(ahead, l.ahead)
		}
	}
	if c.leader != nil && c.leader.hasClock {
		// The leader's counts for as much as this instance's own and another: it is set by those of most.
		ahead = []time.Duration{c.leader.ahead, c.leader.ahead}
	}
	shift := c.duties.clock.Compare(c.options.Duties.Elapsed(), ahead)
	if shift == 0 {
		return
	}
	for l := range c.followers {
		l.ahead -= shift
	}
	if c.leader != nil {
		c.leader.ahead -= shift
	}
	c.options.Log.Warn().Dur("shift", shift).Msg("duties: clock set by those of other instances")
}

// sendCounts tells the leader of the requests that have begun since the last time.
func (c *Coordinator) sendCounts() {
	if c.leader == nil {
		return
	}
	if counts := c.duties.tallier.Unsent(); counts != nil {
		c.leader.notify(methodCounts, countsMessage{
			Counts: counts,
		})
	}
}

func (c *Coordinator) handleCounts(from *link, m countsMessage) {
	if c.options.Duties == nil {
		return
	}
	from.counts = from.counts || len(m.Counts) > 0
	late := c.duties.tallier.Late()
	c.duties.tallier.Merge(m.Counts)
	if more := c.duties.tallier.Late() - late; more > 0 {
		c.options.Log.Warn().Int("requests", more).Msg("duties: counts after the end of their window's time, not reported")
	}
}

// shareCounts tells a new leader all that this instance knows.
func (c *Coordinator) shareCounts(leader *link) {
	if c.options.Duties == nil || !c.options.Duties.Usage {
		return
	}
	leader.notify(methodCounts, countsMessage{
		Counts: c.duties.tallier.Known(),
	})
}

const (
	// countsLag is how long a count takes to its leader at most, while neither is suspended: it waits for the next upkeep.
	countsLag = 150 * time.Millisecond
	// joinPeriod is how long after it has begun to lead an instance may lack the counts of others.
	joinPeriod = 2 * time.Second
)

// countsKnown returns a function that tells whether all counts of a window have arrived: all followers have been heard since its end,
// and none was lost that may have counted in it.
func (c *Coordinator) countsKnown(now time.Time) func(window int64) bool {
	return func(window int64) bool {
		if c.convener.Role() != convener.Leading || now.Sub(c.duties.leadingSince) < joinPeriod {
			return false
		}
		ended := now.Add(c.duties.tallier.End(window).Sub(c.trueTime()))
		for l := range c.followers {
			if l.lastSeen.Before(ended.Add(countsLag)) {
				return false
			}
		}
		for _, lost := range c.duties.lost {
			if now.Sub(lost) < c.options.Duties.Window+c.options.Duties.Delay {
				return false
			}
		}
		return true
	}
}

// followerLost records that counts of a follower may be missing until it joins again. One that was leaving has sent them.
func (c *Coordinator) followerLost(now time.Time, l *link) {
	if c.options.Duties == nil || !l.counts || !l.ready {
		return
	}
	c.duties.lost[l.member.Name] = now
	for other, lost := range c.duties.lost {
		if now.Sub(lost) > c.options.Duties.Window+c.options.Duties.Delay {
			delete(c.duties.lost, other)
		}
	}
}

// tendUsage sends the next report.
func (c *Coordinator) tendUsage(ctx context.Context, now time.Time, t turn) {
	d := &c.duties
	r, found := d.tallier.Report()
	if !found || d.reporting || now.Before(d.nextReport) {
		return
	}
	sum := 0
	for _, n := range r.Counts {
		sum += n
	}
	d.reporting = c.callDuty(ctx, t, func(ctx context.Context, act Act) error {
		return c.options.Duties.Calls.ReportUsage(ctx, act, r.Window, r.Counts)
	}, func(now time.Time, err error) {
		d.reporting = false
		after := c.trueTime().Sub(d.tallier.End(r.Window))
		line := c.options.Log.Info().Int64("window", r.Window).Int("customers", len(r.Counts)).Int("requests", sum).
			Dur("after", after).Int64("fence", t.act.Fence).Int("record_bytes", d.storedBytes)
		var refused *DutyError
		switch {
		case err == nil:
			d.tallier.Sent(r.Window)
			c.recordReport("accepted")
			line.Msg("duties: usage reported")
		case errors.As(err, &refused) && refused.Refused:
			d.nextReport = now.Add(reportPause)
			c.recordReport("refused")
			line.Err(err).Msg("duties: usage report refused")
		default:
			d.nextReport = now.Add(reportPause)
			c.recordReport("unknown")
			line.Err(err).Msg("duties: usage report not confirmed")
		}
	})
}

// reportPause is the pause before a report is sent again that the platform hasn't confirmed.
const reportPause = 300 * time.Millisecond
