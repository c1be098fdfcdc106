package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"bergamothollow.example/bergamothollow/pkg/convener"
	"bergamothollow.example/bergamothollow/pkg/isolator"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/scheduler"
	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/versioner"
)

type peerAddress = convener.Peer

// pointerName is the name of the only object of its kind, which names the leader.
const pointerName = "current"

// pointerTimeout is the timeout of a read or write of the pointer; the store answers either within milliseconds or too
// slowly to be useful.
const pointerTimeout = 600 * time.Millisecond

// pointerResult is the result of a read or write of the pointer.
type pointerResult struct {
	pointer convener.Pointer
	// isolations are the isolated parts that the object holds.
	isolations []isolator.Isolation
	// written is set if the pointer now names this instance.
	written bool
	err     error
}

func (pointerResult) message() {}

// placedRequest is a running request of this instance.
type placedRequest struct {
	request   scheduler.Request
	placement scheduler.Placement
	started   bool
}

// perform executes the actions that the convener returned.
func (c *Coordinator) perform(ctx context.Context, actions []convener.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case convener.ReadPointer:
			go c.readPointer(ctx)
		case convener.WritePointer:
			if c.rules == nil {
				// The store is read beside the claim.
				c.unfedSince = time.Time{}
			}
			go c.writePointer(ctx, a.Version, c.storedPointer())
		case convener.Join:
			go c.join(ctx, a.Peer)
		case convener.Ping:
			c.ping()
		case convener.Leave:
			c.stopFollowing()
		}
	}
	c.updateRole()
	if c.rules == nil {
		c.followStore(ctx, c.options.Clock.Now())
	}
}

// report returns the state of this instance of which the leader must hear at once.
func (c *Coordinator) report() pingMessage {
	return pingMessage{
		Ready: c.ready(),
		Reads: c.readsStore(),
	}
}

// ping sends the state of this instance to the leader, if there is one.
func (c *Coordinator) ping() {
	if c.leader != nil {
		c.sentPing = c.report()
		message := c.sentPing
		message.Used = c.usage.cores
		message.Time = c.sentTime()
		c.leader.notify(methodPing, message)
	}
}

func (c *Coordinator) ready() bool {
	return c.rules != nil && !c.leaving
}

// updateRole logs a change of role and closes connections of followers if this instance no longer leads.
func (c *Coordinator) updateRole() {
	role := c.convener.Role()
	if role == c.role {
		return
	}
	c.options.Log.Info().Str("was", c.role.String()).Str("role", role.String()).
		Str("leader", c.convener.Leader().Name).Msg("coordinator: role")
	c.role = role
	c.viewOutdated = true
	if role == convener.Leading {
		c.previousMembersUntil = c.options.Clock.Now().Add(previousMembersPeriod)
		c.duties.leadingSince = c.options.Clock.Now()
		return
	}
	for l := range c.followers {
		l.close()
	}
}

// previousMembersPeriod is how long a new leader still announces the members of the previous leader; they join within a few
// round trips.
const previousMembersPeriod = 1200 * time.Millisecond

func (c *Coordinator) readPointer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pointerTimeout)
	defer cancel()
	object, err := c.options.Store.WithoutRetry(storer.PriorityControl).Get(ctx, c.options.Format.LeaderKind, pointerName)
	var missing *storer.NotFoundError
	if errors.As(err, &missing) {
		object, err = absentObject(missing), nil
	}
	c.sendPointerResult(object, false, err)
}

func (c *Coordinator) writePointer(ctx context.Context, version versioner.Version, pointer storedPointer) {
	ctx, cancel := context.WithTimeout(ctx, pointerTimeout)
	defer cancel()
	value, err := json.Marshal(pointer)
	if err != nil {
		c.sendPointerResult(storer.Object{}, false, err)
		return
	}
	store := c.options.Store.WithoutRetry(storer.PriorityControl)
	kind := c.options.Format.LeaderKind
	var written versioner.Version
	if !version.Exists() {
		written, err = store.Create(ctx, kind, pointerName, value)
	} else {
		written, err = store.Update(ctx, kind, pointerName, version, value)
	}
	var conflict *storer.ConflictError
	var restored *storer.EraError
	switch {
	case errors.As(err, &conflict):
		// Another instance was first; the error contains the current object.
		c.sendPointerResult(conflict.Current, false, nil)
		return
	case errors.As(err, &restored):
		c.readPointer(ctx)
		return
	}
	c.sendPointerResult(storer.Object{
		Version: written,
		Value:   value,
	}, err == nil, err)
}

// sendPointerResult sends the result of a pointer call to the control goroutine.
func (c *Coordinator) sendPointerResult(o storer.Object, written bool, err error) {
	m := pointerResult{
		written: written,
		err:     err,
		pointer: convener.Pointer{
			Version: o.Version,
		},
	}
	if err == nil && o.Exists() {
		var stored storedPointer
		m.err = json.Unmarshal(o.Value, &stored)
		m.pointer.Leader = stored.Peer
		m.isolations = stored.isolations()
	}
	c.messages <- m
}

func (c *Coordinator) self() convener.Peer {
	return convener.Peer{
		Name:    c.options.Self.Name,
		Address: c.options.Self.Peers,
	}
}

func (c *Coordinator) handlePointerResult(ctx context.Context, now time.Time, m pointerResult) {
	c.enterEra(now, m.pointer.Version)
	switch {
	case m.err != nil:
		c.perform(ctx, c.convener.StoreUnavailable(now))
	case m.written:
		c.convener.PointerWritten(now, m.pointer.Version)
		c.perform(ctx, nil)
	default:
		// What a leader knows is newer than the object if that names another one: a restored store names a former leader, and a new one
		// shares its isolations.
		if m.pointer.Leader.Name != c.options.Self.Name && c.convener.Role() != convener.Leading {
			c.addIsolations(m.isolations, "store")
		}
		c.perform(ctx, c.convener.PointerRead(now, m.pointer))
		c.storeIsolations(ctx, m)
	}
}

// storeIsolations writes the pointer again if it names this instance and lacks isolations, or has some that have ended.
func (c *Coordinator) storeIsolations(ctx context.Context, m pointerResult) {
	if c.convener.Role() != convener.Leading || m.pointer.Leader.Name != c.options.Self.Name ||
		sameParts(m.isolations, c.isolator.Isolations()) {
		return
	}
	go c.writePointer(ctx, m.pointer.Version, c.storedPointer())
}

func (c *Coordinator) handleJoinResult(ctx context.Context, now time.Time, m joinResult) {
	switch {
	case m.err != nil:
		c.perform(ctx, c.convener.JoinFailed(now, m.peer))
	case m.answer.Accepted:
		c.follow(now, m)
		pending := c.pendingMessages[m.link]
		delete(c.pendingMessages, m.link)
		for _, e := range pending {
			c.handlePeerMessage(now, e)
		}
		c.perform(ctx, nil)
	default:
		c.perform(ctx, c.convener.Redirected(now, m.peer, m.answer.Self, m.answer.Leader))
	}
}

// follow reports this instance's running requests to the new leader and submits its waiting ones.
func (c *Coordinator) follow(now time.Time, m joinResult) {
	c.leader = m.link
	c.sentPing = pingMessage{}
	c.leaderName = m.answer.Self.Name
	c.lostLeader = ""
	c.convener.Joined(now, m.answer.Self)
	c.shareIsolations(now, c.leader)
	c.shareRetained(c.leader)
	c.shareCounts(c.leader)
	for id, p := range c.placed {
		message := adoptMessage{
			Request:   encodeRequest(now, p.request),
			Placement: p.placement,
			Started:   p.started,
		}
		message.Request.ID = id
		c.leader.notify(methodAdopt, message)
	}
	for id, w := range c.waiting {
		c.release(id)
		c.scheduler.Withdraw(id)
		c.leader.notify(methodSubmit, encodeRequest(now, w.request))
	}
}

// stopFollowing disconnects from the leader and submits waiting requests to this instance's own scheduler.
func (c *Coordinator) stopFollowing() {
	if c.leader == nil {
		return
	}
	c.leader.close()
	c.leader = nil
	c.lostLeader = c.leaderName
	c.hasSnapshot = false
	c.leaderLostStore = false
	c.covered = false
	c.unfedSince = c.options.Clock.Now()
	c.viewOutdated = true
	for _, w := range c.waiting {
		c.submit(c.options.Clock.Now(), w.request)
	}
}

func (c *Coordinator) handleLinkClosed(ctx context.Context, now time.Time, l *link) {
	delete(c.pendingMessages, l)
	if l == c.leader {
		c.perform(ctx, c.convener.LeaderDisconnected(now))
		return
	}
	if _, follows := c.followers[l]; !follows {
		return
	}
	delete(c.followers, l)
	c.viewOutdated = true
	c.followerLost(now, l)
	c.options.Log.Info().Str("member", l.member.Name).Msg("coordinator: follower lost")
	for id, owner := range c.owners {
		if owner == l {
			delete(c.owners, id)
			c.dropRequest(now, id)
		}
	}
}

// dropRequest removes a request from the scheduler, whether it is queued or running.
func (c *Coordinator) dropRequest(now time.Time, id namer.Request) {
	c.release(id)
	if !c.scheduler.Withdraw(id) {
		c.scheduler.Ended(now, id, scheduler.Cancelled, "")
	}
}

// handlePeerMessage handles a message of a peer; it closes the connection if the message cannot be decoded.
func (c *Coordinator) handlePeerMessage(now time.Time, m peerMessage) {
	if m.method == methodJoin {
		c.handleJoin(now, m)
		return
	}
	var err error
	_, follows := c.followers[m.link]
	switch {
	case m.link == c.leader:
		c.convener.LeaderHeard(now)
		err = c.handleLeaderMessage(now, m)
	case follows:
		m.link.lastSeen = now
		err = c.handleFollowerMessage(now, m)
	case m.link.accepted != nil && m.link.member.Name == "":
		// A peer that has opened the connection must join first.
		m.link.accepted.Expel()
	case len(c.pendingMessages[m.link]) < maxPendingMessages:
		// Messages of a leader may arrive before the result of joining it.
		c.pendingMessages[m.link] = append(c.pendingMessages[m.link], m)
	}
	if err != nil {
		c.options.Log.Error().Err(err).Str("method", m.method).Msg("coordinator: failed to decode the message of a peer")
		m.link.close()
	}
}

// maxPendingMessages is the maximum number of messages kept per peer until the result of joining it is known.
const maxPendingMessages = 64

// handleJoin answers a request to join as a follower.
func (c *Coordinator) handleJoin(now time.Time, m peerMessage) {
	var request joinRequest
	if err := json.Unmarshal(m.params, &request); err != nil || m.answer == nil {
		m.link.close()
		return
	}
	answer := joinAnswer{
		Accepted: c.convener.Role() == convener.Leading,
		Self:     c.self(),
		Leader:   c.convener.Leader(),
	}
	if answer.Accepted {
		m.link.member = request.Member
		if m.link.accepted != nil {
			m.link.accepted.Trust()
		}
		m.link.lastSeen = now
		m.link.rank = lineLength
		c.followers[m.link] = struct{}{}
		delete(c.duties.lost, request.Member.Name)
		c.viewOutdated = true
		c.options.Log.Info().Str("member", request.Member.Name).Msg("coordinator: follower joined")
	}
	m.answer(answer)
	if answer.Accepted {
		c.shareIsolations(now, m.link)
		c.shareRetained(m.link)
	}
}

func (c *Coordinator) handleFollowerMessage(now time.Time, m peerMessage) error {
	switch m.method {
	case methodPing:
		return decodeAndHandle(m, func(p pingMessage) {
			if p.Ready != m.link.ready {
				m.link.ready = p.Ready
				c.viewOutdated = true
			}
			m.link.used = p.Used
			m.link.readsStore = p.Reads
			c.hearTime(m.link, p.Time)
			pong := c.storeState
			pong.Time = c.sentTime()
			pong.NextWindow = c.nextWindow()
			m.link.notify(methodPong, pong)
		})
	case methodSubmit:
		return decodeAndHandle(m, func(r requestMessage) {
			c.owners[r.ID] = m.link
			c.submit(now, r.request(now))
		})
	case methodAdopt:
		return decodeAndHandle(m, func(a adoptMessage) {
			c.owners[a.Request.ID] = m.link
			c.scheduler.Adopt(now, a.Request.request(now), a.Placement, a.Started)
		})
	case methodRead:
		return decodeAndHandle(m, func(o objectsMessage) {
			if err := c.applyObjects(now, o); err != nil {
				c.options.Log.Error().Err(err).Str("member", m.link.member.Name).Msg("coordinator: failed to decode objects from a store reader")
			}
		})
	case methodRetained:
		return decodeAndHandle(m, func(o objectsMessage) { c.handleRetained(now, m.link, o) })
	case methodWithdraw:
		return decodeAndHandle(m, func(p progressMessage) {
			delete(c.owners, p.Request)
			c.dropRequest(now, p.Request)
		})
	case methodStarted:
		return decodeAndHandle(m, func(p progressMessage) {
			c.scheduler.Started(now, p.Request)
		})
	case methodLeaves:
		return decodeAndHandle(m, func(p leavesMessage) { c.handleTargetLeaves(p.run(), m.link) })
	case methodCrashed:
		return decodeAndHandle(m, func(p crashMessage) {
			c.handleCrash(now, isolator.Crash{
				Engine:  p.Engine,
				Started: time.UnixMilli(p.Started),
				Request: p.Request,
				Parts:   p.Parts,
				Late:    p.Late,
			})
		})
	case methodCounts:
		return decodeAndHandle(m, func(p countsMessage) { c.handleCounts(m.link, p) })
	case methodSound:
		return decodeAndHandle(m, func(p soundMessage) { c.handleSound(now, p.Parts) })
	case methodIsolated:
		return decodeAndHandle(m, func(p isolationsMessage) { c.addIsolations(p.isolations(now), m.link.member.Name) })
	case methodEnded:
		return decodeAndHandle(m, func(p progressMessage) {
			delete(c.owners, p.Request)
			c.scheduler.Ended(now, p.Request, p.Outcome, p.Faulty)
		})
	}
	return nil
}

func (c *Coordinator) handleLeaderMessage(now time.Time, m peerMessage) error {
	switch m.method {
	case methodPong:
		return decodeAndHandle(m, func(p pongMessage) {
			c.covered = p.Covered
			c.hearTime(m.link, p.Time)
			c.hearNextWindow(p.NextWindow)
			c.handleLeaderStoreState(now, p.StoreLost)
		})
	case methodLeaves:
		return decodeAndHandle(m, func(p leavesMessage) { c.handleTargetLeaves(p.run(), m.link) })
	case methodIsolated:
		return decodeAndHandle(m, func(p isolationsMessage) { c.replaceIsolations(p.isolations(now)) })
	case methodRetained:
		return decodeAndHandle(m, func(o objectsMessage) { c.handleRetained(now, m.link, o) })
	case methodObjects:
		var objects objectsMessage
		if err := json.Unmarshal(m.params, &objects); err != nil {
			return err
		}
		return c.applyObjects(now, objects)
	case methodDecision:
		return decodeAndHandle(m, func(d decisionMessage) {
			c.handleDecision(now, d)
		})
	case methodMembers:
		return decodeAndHandle(m, func(list membersMessage) {
			c.members = list.Members
			c.instances = list.Instances
			c.crowded = list.Crowded
			c.rank = rankIn(list.Line, c.options.Self.Name)
			c.convener.SetSuccession(list.Line, c.rank)
			c.convener.SetStandby(len(list.Members) > 0 && !c.listed())
			c.viewOutdated = true
		})
	}
	return nil
}

func decodeAndHandle[M any](m peerMessage, handle func(M)) error {
	var message M
	if err := json.Unmarshal(m.params, &message); err != nil {
		return err
	}
	handle(message)
	return nil
}

func (c *Coordinator) handleDecision(now time.Time, d decisionMessage) {
	w, waits := c.waiting[d.Request]
	switch {
	case d.Place != nil && waits:
		c.scheduler.Adopt(now, w.request, *d.Place, false)
		c.reply(d.Request, scheduler.Place{
			Request:   d.Request,
			Placement: *d.Place,
		})
	case d.Refuse != nil && waits:
		c.reply(d.Request, *d.Refuse)
	}
}

// reply delivers a decision to the waiting request.
func (c *Coordinator) reply(id namer.Request, d scheduler.Decision) {
	w := c.waiting[id]
	delete(c.waiting, id)
	if place, ok := d.(scheduler.Place); ok {
		c.placed[id] = &placedRequest{
			request:   w.request,
			placement: place.Placement,
		}
	}
	w.reply <- d
}

// closeSilentFollowers closes the connections of followers that have stopped sending pings. Those on standby send fewer.
func (c *Coordinator) closeSilentFollowers(now time.Time) {
	s := &c.options.Convener
	for l := range c.followers {
		limit := s.StandbySilence + s.StandbyPing
		if !l.listedAt.IsZero() && now.Sub(l.listedAt) > s.StandbyPing {
			limit = s.Silence + s.Ping
		}
		if now.Sub(l.lastSeen) > limit {
			l.close()
		}
	}
}
