package controller

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"bergamothollow.example/bergamothollow/pkg/elector"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/recorder"
	"bergamothollow.example/bergamothollow/pkg/reserver"
	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/tracker"
)

// memberState is what is known of the own member record.
type memberState struct {
	version int64
	writing bool
	// next is the record to write once the present write has ended.
	next *tracker.Member
}

// tableState is what is known of writes of the ownership table.
type tableState struct {
	unresolved bool
	handedOver bool
}

func (c *Controller) handleStore(m message, now time.Time) {
	switch m := m.(type) {
	case membersRead:
		c.takeMembers(m, now)
	case targetsRead:
		c.takeTargets(m, now)
	case tableRead:
		c.takeTable(m, now)
	case tableWritten:
		c.takeTableWrite(m, now)
	case instancesRead:
		c.takeInstances(m, now)
	case memberWritten:
		c.takeMemberWrite(m, now)
	case batchWritten:
		c.takeBatchWrite(m, now)
	}
}

// heardStore notes that the store answered.
func (c *Controller) heardStore(now time.Time) {
	c.tracker.HearStore(now)
	c.follower.HearStore(now)
}

func (c *Controller) takeMembers(m membersRead, now time.Time) {
	if m.err != nil {
		c.logStore("read members", m.err)
		return
	}
	c.heardStore(now)
	members := make([]tracker.Member, 0, len(m.objects))
	for _, o := range m.objects {
		var member tracker.Member
		if err := json.Unmarshal(o.Value, &member); err != nil {
			c.logStore("decode member "+o.Name, err)
			continue
		}
		members = append(members, member)
		c.trackerActions(c.tracker.ObserveMember(o.Version, member, now), now)
	}
	c.electorActions(c.elector.Handle(elector.MembersRead{
		Requested: m.requested,
		Members:   members,
	}, now), now)
}

func (c *Controller) takeTargets(m targetsRead, now time.Time) {
	if m.err != nil {
		c.logStore("read targets", m.err)
		return
	}
	c.heardStore(now)
	seen := map[namer.Target]tracker.Target{}
	var elected []elector.Target
	for _, o := range m.objects {
		var target tracker.Target
		if err := json.Unmarshal(o.Value, &target); err != nil {
			c.logStore("decode target "+o.Name, err)
			continue
		}
		if target.Cell != "" && target.Cell != c.options.Settings.Cell {
			continue
		}
		seen[target.ID] = target
		c.tracker.ObserveTarget(target)
		if target.Kind == tracker.TargetEngine {
			elected = append(elected, elector.Target{
				ID:      target.ID,
				Fencing: target.Fencing,
			})
		}
	}
	c.replaceTargets(seen)
	c.electorActions(c.elector.Handle(elector.TargetsRead{
		Targets: elected,
	}, now), now)
}

func (c *Controller) replaceTargets(seen map[namer.Target]tracker.Target) {
	for id := range c.targets {
		if _, ok := seen[id]; !ok {
			c.tracker.ForgetTarget(id)
			c.traffic.forgetTarget(id)
		}
	}
	c.targets = seen
	for _, t := range seen {
		c.traffic.setTarget(t)
	}
}

func (c *Controller) readTable(now time.Time) {
	c.start(c.storeTimeout(), func(ctx context.Context) message {
		read := tableRead{
			requested: now,
		}
		object, err := c.options.Store.Get(ctx, storer.PriorityControl, storer.KindCell, string(c.options.Settings.Cell))
		var missing *storer.NotFoundError
		switch {
		case errors.As(err, &missing):
			return read
		case err != nil:
			read.err = err
			return read
		}
		read.version = object.Version
		read.err = json.Unmarshal(object.Value, &read.table)
		return read
	})
}

func (c *Controller) takeTable(m tableRead, now time.Time) {
	if m.err != nil {
		c.logStore("read ownership table", m.err)
		if c.table.unresolved {
			c.schedule.table = now.Add(tickInterval)
		}
		return
	}
	c.heardStore(now)
	c.table.unresolved = false
	c.electorActions(c.elector.Handle(elector.TableRead{
		Requested: m.requested,
		Version:   m.version,
		Table:     m.table,
	}, now), now)
	c.refreshOwners(now)
}

// refreshOwners tells the reserver whom to ask for each target.
func (c *Controller) refreshOwners(now time.Time) {
	for id, t := range c.targets {
		if t.Kind != tracker.TargetEngine {
			continue
		}
		owner, _ := c.elector.Owner(id, now)
		c.reserverActions(c.reserver.Handle(reserver.OwnerChanged{
			Target: id,
			Owner:  owner,
		}, now), now)
	}
}

func (c *Controller) writeTable(a elector.WriteTable) {
	value, err := json.Marshal(a.Table)
	if err != nil {
		c.logStore("encode ownership table", err)
		return
	}
	c.start(c.storeTimeout(), func(ctx context.Context) message {
		version, err := c.writeOnce(ctx, a, value)
		return tableWritten{
			number:  a.Table.WriteNumber,
			version: version,
			err:     err,
		}
	})
}

// writeOnce makes a single call: the elector must learn of an unknown outcome and reads the table itself.
func (c *Controller) writeOnce(ctx context.Context, a elector.WriteTable, value json.RawMessage) (int64, error) {
	store := c.options.Store.Once(storer.PriorityControl)
	name := string(c.options.Settings.Cell)
	if a.Version == 0 {
		return store.Create(ctx, storer.KindCell, name, value)
	}
	return store.Update(ctx, storer.KindCell, name, a.Version, value)
}

func (c *Controller) takeTableWrite(m tableWritten, now time.Time) {
	outcome := writeOutcome(m.err)
	if outcome == elector.WriteUnknown {
		c.table.unresolved = true
	}
	c.electorActions(c.elector.Handle(elector.WriteAnswered{
		WriteNumber: m.number,
		Outcome:     outcome,
		Version:     m.version,
	}, now), now)
	c.readTable(now)
}

func writeOutcome(err error) elector.WriteOutcome {
	var conflict *storer.ConflictError
	switch {
	case err == nil:
		return elector.WriteDone
	case errors.As(err, &conflict):
		return elector.WriteConflict
	case storer.CertainlyNotWritten(err):
		return elector.WriteRefused
	default:
		return elector.WriteUnknown
	}
}

func (c *Controller) takeInstances(m instancesRead, now time.Time) {
	if m.err != nil {
		c.logStore("read instances", m.err)
		return
	}
	c.heardStore(now)
	listed := make([]tracker.Listed, 0, len(m.instances))
	names := make([]namer.Instance, 0, len(m.instances))
	for _, i := range m.instances {
		names = append(names, i.Instance)
		listed = append(listed, tracker.Listed{
			Instance: i.Instance,
			Leaving:  i.State == storer.InstanceLeaving,
		})
	}
	c.tracker.ObserveList(listed, now)
	c.electorActions(c.elector.Handle(elector.InstancesListed{
		Requested: m.requested,
		Instances: names,
	}, now), now)
}

// renewMember writes the own member record with the next heartbeat number.
func (c *Controller) renewMember(member tracker.Member, now time.Time) {
	if c.member.writing {
		// The record of a planned stop must not be lost to a renewal under way.
		c.member.next = &member
		return
	}
	c.member.writing = true
	member.Number = c.nextNumber(now)
	member.Heard = c.elector.Heard(namer.Holder{}, now)
	member.TableVersion = c.elector.TableVersion()
	value, err := json.Marshal(member)
	if err != nil {
		c.logStore("encode member", err)
		return
	}
	name := string(c.options.Settings.Cell) + "." + string(member.Holder.Instance)
	version := c.member.version
	c.start(c.storeTimeout(), func(ctx context.Context) message {
		version, err := c.writeMember(ctx, name, version, value, member)
		return memberWritten{
			version: version,
			err:     err,
		}
	})
}

func (c *Controller) writeMember(ctx context.Context, name string, version int64, value json.RawMessage, member tracker.Member) (int64, error) {
	mine := storer.MineIf(func(stored tracker.Member) bool {
		return stored.Holder == member.Holder && stored.Number == member.Number
	})
	if version == 0 {
		return c.options.Store.Create(ctx, storer.PriorityControl, storer.KindMember, name, value, mine)
	}
	return c.options.Store.Update(ctx, storer.PriorityControl, storer.KindMember, name, version, value, mine)
}

func (c *Controller) takeMemberWrite(m memberWritten, now time.Time) {
	c.member.writing = false
	defer c.renewNext(now)
	var conflict *storer.ConflictError
	switch {
	case m.err == nil:
		c.member.version = m.version
		c.heardStore(now)
	case errors.As(m.err, &conflict):
		// The record of an earlier process under this name, or an own write whose answer was lost.
		c.member.version = conflict.Current.Version
		c.heardStore(now)
	default:
		c.logStore("renew member record", m.err)
	}
}

// renewNext writes the record that came while another was being written; a process that has nothing else to do exits after
// its last record.
func (c *Controller) renewNext(now time.Time) {
	if next := c.member.next; next != nil {
		c.member.next = nil
		c.renewMember(*next, now)
		return
	}
	c.exitWhenWritten()
}

// nextNumber returns the next heartbeat number; the elector learns of it before it is sent.
func (c *Controller) nextNumber(now time.Time) int64 {
	c.number++
	c.exchanges.noteSent(c.number, now)
	c.electorActions(c.elector.Handle(elector.HeartbeatSent{
		Number: c.number,
	}, now), now)
	return c.number
}

func (c *Controller) recorderActions(actions []recorder.Action) {
	for _, a := range actions {
		if batch, ok := a.(recorder.WriteBatch); ok {
			c.writeBatch(batch)
		}
	}
}

func (c *Controller) writeBatch(a recorder.WriteBatch) {
	c.start(c.storeTimeout(), func(ctx context.Context) message {
		_, err := c.options.Store.Once(storer.PriorityNormal).Create(ctx, storer.KindRefusal, a.Name, a.Value)
		return batchWritten{
			batch: a,
			err:   err,
		}
	})
}

func (c *Controller) takeBatchWrite(m batchWritten, now time.Time) {
	var conflict *storer.ConflictError
	// Nobody else writes under this name: a conflict is the own write whose answer was lost.
	stored := m.err == nil || errors.As(m.err, &conflict)
	if !stored {
		c.logStore("write refusal records", m.err)
	}
	c.recorderActions(c.recorder.Finish(m.batch.Number, stored, now))
}

func (c *Controller) logStore(what string, err error) {
	c.options.Log.Warn().Err(err).Msgf("controller: cannot %s", what)
}
