package coordinator

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/abstainer"
	"bergamothollow.example/bergamothollow/pkg/convener"
)

// handleTargetLeaves takes a run of a target out of service that has said that it leaves, and passes that on: to the leader, or from the
// leader to its followers, so that it holds before the store tells. From is the peer that reported it, nil for this instance.
func (c *Coordinator) handleTargetLeaves(run abstainer.Run, from *link) {
	if !c.catalogue.MarkLeaving(run.Target, run.Started) {
		return
	}
	line := c.options.Log.Info().Str("target", string(run.Target)).Time("started", run.Started)
	if from != nil {
		line = line.Str("source", from.member.Name)
	}
	line.Msg("coordinator: target leaves by its own word")
	c.viewOutdated = true
	c.nextPublish = time.Time{}
	message := leavesMessage{
		Target: run.Target,
	}
	if !run.Started.IsZero() {
		message.Started = run.Started.UnixMilli()
	}
	if c.leader != nil && c.leader != from {
		c.leader.notify(methodLeaves, message)
	}
	if c.convener.Role() != convener.Leading {
		return
	}
	for l := range c.followers {
		if l != from {
			l.notify(methodLeaves, message)
		}
	}
}

func (m *leavesMessage) run() abstainer.Run {
	run := abstainer.Run{
		Target: m.Target,
	}
	if m.Started != 0 {
		run.Started = time.UnixMilli(m.Started)
	}
	return run
}
