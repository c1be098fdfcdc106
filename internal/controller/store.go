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
	"bergamothollow.example/bergamothollow/pkg/versioner"
)

// memberState is the write state of this instance's member record.
type memberState struct {
	version int64
	writing bool
	// next is the record to write when the current write has ended.
	next *tracker.Member
}

// tableState is the state of this instance's writes to the ownership table.
type tableState struct {
	// outcomeUnknown is set while it is not known whether the last write took effect.
	outcomeUnknown bool
	// handedOver is whether all owned targets have been handed over in a planned stop.
	handedOver bool
}

func (c *Controller) handleStore(m message, now time.Time) {
	switch m := m.(type) {
	case membersRead:
		c.handleMembersRead(m, now)
	case targetsRead:
		c.handleTargetsRead(m, now)
	case tableRead:
		c.handleTableRead(m, now)
	case tableWritten:
		c.handleTableWritten(m, now)
	case instancesRead:
		c.handleInstancesRead(m, now)
	case memberWritten:
		c.handleMemberWritten(m, now)
	case refusalsWritten:
		c.handleRefusalsWritten(m, now)
	}
}

// recordStoreContact records that the store answered.
func (c *Controller) recordStoreContact(now time.Time) {
	c.tracker.ObserveStoreResponse(now)
	c.follower.ObserveStoreResponse(now)
}

func (c *Controller) handleMembersRead(m membersRead, now time.Time) {
	if m.err != nil {
		c.logStoreError("read members", m.err)
		return
	}
	c.recordStoreContact(now)
	members := make([]tracker.Member, 0, len(m.objects))
	for _, o := range m.objects {
		var member tracker.Member
		if err := json.Unmarshal(o.Value, &member); err != nil {
			c.logStoreError("decode member "+o.Name, err)
			continue
		}
		members = append(members, member)
		c.trackerActions(c.tracker.ObserveMember(o.Number, member, now), now)
	}
	c.electorActions(c.elector.Handle(elector.MembersRead{
		Requested: m.requested,
		Members:   members,
	}, now), now)
}

func (c *Controller) handleTargetsRead(m targetsRead, now time.Time) {
	if m.err != nil {
		c.logStoreError("read targets", m.err)
		return
	}
	c.recordStoreContact(now)
	seen := map[namer.Target]tracker.Target{}
	var engines []elector.Target
	for _, o := range m.objects {
		var target tracker.Target
		if err := json.Unmarshal(o.Value, &target); err != nil {
			c.logStoreError("decode target "+o.Name, err)
			continue
		}
		if target.Cell != "" && target.Cell != c.options.Settings.Cell {
			continue
		}
		seen[target.ID] = target
		c.tracker.ObserveTarget(target)
		if target.Kind == tracker.TargetEngine {
			engines = append(engines, elector.Target{
				ID:      target.ID,
				Fencing: target.Fencing,
			})
		}
	}
	c.replaceTargets(seen)
	c.electorActions(c.elector.Handle(elector.TargetsRead{
		Targets: engines,
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
	c.startIO(c.storeTimeout(), func(ctx context.Context) message {
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
		read.version = object.Number
		read.err = json.Unmarshal(object.Value, &read.table)
		return read
	})
}

func (c *Controller) handleTableRead(m tableRead, now time.Time) {
	if m.err != nil {
		c.logStoreError("read ownership table", m.err)
		if c.table.outcomeUnknown {
			c.schedule.table = now.Add(tickInterval)
		}
		return
	}
	c.recordStoreContact(now)
	c.table.outcomeUnknown = false
	c.electorActions(c.elector.Handle(elector.TableRead{
		Requested: m.requested,
		Version:   m.version,
		Table:     m.table,
	}, now), now)
	c.refreshOwners(now)
}

// refreshOwners tells the reserver the current owner of each engine target.
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
		c.logStoreError("encode ownership table", err)
		return
	}
	c.startIO(c.storeTimeout(), func(ctx context.Context) message {
		version, err := c.writeTableOnce(ctx, a, value)
		return tableWritten{
			number:  a.Table.WriteNumber,
			version: version.Number,
			err:     err,
		}
	})
}

// writeTableOnce writes the table without retries: the elector must learn of an unknown outcome, and then reads the table.
func (c *Controller) writeTableOnce(ctx context.Context, a elector.WriteTable, value json.RawMessage) (versioner.Version, error) {
	store := c.options.Store.WithoutRetry(storer.PriorityControl)
	name := string(c.options.Settings.Cell)
	if a.Version == 0 {
		return store.Create(ctx, storer.KindCell, name, value)
	}
	return store.Update(ctx, storer.KindCell, name, versioner.Of(a.Version), value)
}

func (c *Controller) handleTableWritten(m tableWritten, now time.Time) {
	outcome := writeOutcome(m.err)
	if outcome == elector.WriteUnknown {
		c.table.outcomeUnknown = true
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

func (c *Controller) handleInstancesRead(m instancesRead, now time.Time) {
	if m.err != nil {
		c.logStoreError("read instances", m.err)
		return
	}
	c.recordStoreContact(now)
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

// renewMember writes this instance's member record with the next heartbeat number.
func (c *Controller) renewMember(member tracker.Member, now time.Time) {
	if c.member.writing {
		// Keep the record until the current write has ended: it may be the record of a planned stop.
		c.member.next = &member
		return
	}
	c.member.writing = true
	member.Number = c.nextHeartbeatNumber(now)
	member.Heard = c.elector.Echoes(namer.Holder{}, now)
	member.TableVersion = c.elector.TableVersion()
	value, err := json.Marshal(member)
	if err != nil {
		c.logStoreError("encode member", err)
		return
	}
	name := string(c.options.Settings.Cell) + "." + string(member.Holder.Instance)
	version := c.member.version
	c.startIO(c.storeTimeout(), func(ctx context.Context) message {
		version, err := c.writeMember(ctx, name, version, value, member)
		return memberWritten{
			version: version.Number,
			err:     err,
		}
	})
}

func (c *Controller) writeMember(ctx context.Context, name string, version int64, value json.RawMessage, member tracker.Member) (versioner.Version, error) {
	ownWrite := storer.OwnWriteIf(func(stored tracker.Member) bool {
		return stored.Holder == member.Holder && stored.Number == member.Number
	})
	if version == 0 {
		return c.options.Store.Create(ctx, storer.PriorityControl, storer.KindMember, name, value, ownWrite)
	}
	return c.options.Store.Update(ctx, storer.PriorityControl, storer.KindMember, name, versioner.Of(version), value, ownWrite)
}

func (c *Controller) handleMemberWritten(m memberWritten, now time.Time) {
	c.member.writing = false
	defer c.writeNextMember(now)
	var conflict *storer.ConflictError
	switch {
	case m.err == nil:
		c.member.version = m.version
		c.recordStoreContact(now)
	case errors.As(m.err, &conflict):
		// The record was written by an earlier process under this name, or by this process in a call whose answer was lost.
		c.member.version = conflict.Current.Number
		c.recordStoreContact(now)
	default:
		c.logStoreError("renew member record", m.err)
	}
}

// writeNextMember writes the record that was queued during the last write. Without one, a process that is stopping exits.
func (c *Controller) writeNextMember(now time.Time) {
	if next := c.member.next; next != nil {
		c.member.next = nil
		c.renewMember(*next, now)
		return
	}
	c.exitWhenWritten()
}

// nextHeartbeatNumber returns the next heartbeat number and tells the elector of it before it is sent.
func (c *Controller) nextHeartbeatNumber(now time.Time) int64 {
	c.number++
	c.peerStates.recordSent(c.number, now)
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
	c.startIO(c.storeTimeout(), func(ctx context.Context) message {
		_, err := c.options.Store.WithoutRetry(storer.PriorityNormal).Create(ctx, storer.KindRefusal, a.Name, a.Value)
		return refusalsWritten{
			batch: a,
			err:   err,
		}
	})
}

func (c *Controller) handleRefusalsWritten(m refusalsWritten, now time.Time) {
	var conflict *storer.ConflictError
	// No other process writes under this name: a conflict means that this write succeeded and its answer was lost.
	stored := m.err == nil || errors.As(m.err, &conflict)
	if !stored {
		c.logStoreError("write refusal records", m.err)
	}
	c.recorderActions(c.recorder.Finish(m.batch.Number, stored, now))
}

func (c *Controller) logStoreError(operation string, err error) {
	c.options.Log.Warn().Err(err).Msgf("controller: cannot %s", operation)
}
