package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"bergamothollow.example/bergamothollow/pkg/convener"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/scheduler"
	"bergamothollow.example/bergamothollow/pkg/storer"
)

type peerAddress = convener.Peer

// pointerName is the name of the only object that names the leader.
const pointerName = "current"

// pointerTimeout bounds a call about the pointer; the store answers in milliseconds, or too slowly to wait for.
const pointerTimeout = 600 * time.Millisecond

// pointed is the outcome of a call about the object that names the leader.
type pointed struct {
	pointer convener.Pointer
	// written is set if this instance has been named.
	written bool
	err     error
}

func (pointed) message() {}

// placed is a request of this instance that runs.
type placed struct {
	request   scheduler.Request
	placement scheduler.Placement
	started   bool
}

// act carries out what the convener asks for.
func (c *Coordinator) act(ctx context.Context, actions []convener.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case convener.ReadPointer:
			go c.readPointer(ctx)
		case convener.WritePointer:
			go c.writePointer(ctx, a.Version)
		case convener.Join:
			go c.join(ctx, a.Peer)
		case convener.Ping:
			c.leader.notify(methodPing, pingMessage{
				Ready: c.ready(),
				Reads: c.reads(),
			})
		case convener.Leave:
			c.unfollow()
		}
	}
	c.noteRole()
}

func (c *Coordinator) ready() bool {
	return c.rules != nil && !c.leaving
}

// noteRole logs a change of role and closes the links that the new role does not have.
func (c *Coordinator) noteRole() {
	role := c.convener.Role()
	if role == c.role {
		return
	}
	c.options.Log.Info().Str("was", c.role.String()).Str("role", role.String()).
		Str("leader", c.convener.Leader().Name).Msg("coordinator: role")
	c.role = role
	c.stale = true
	if role == convener.Leading {
		c.inheritUntil = c.options.Clock.Now().Add(inheritance)
		return
	}
	for l := range c.followers {
		l.close()
	}
}

// inheritance is how long a new leader goes on naming the members of the one before: they join within a few round trips.
const inheritance = 1200 * time.Millisecond

func (c *Coordinator) readPointer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pointerTimeout)
	defer cancel()
	object, err := c.options.Store.Once(storer.PriorityControl).Get(ctx, c.options.Format.Leaders, pointerName)
	var missing *storer.NotFoundError
	if errors.As(err, &missing) {
		object, err = storer.Object{}, nil
	}
	c.point(object, false, err)
}

func (c *Coordinator) writePointer(ctx context.Context, version int64) {
	ctx, cancel := context.WithTimeout(ctx, pointerTimeout)
	defer cancel()
	self := c.self()
	value, err := json.Marshal(self)
	if err != nil {
		c.point(storer.Object{}, false, err)
		return
	}
	store := c.options.Store.Once(storer.PriorityControl)
	kind := c.options.Format.Leaders
	var written int64
	if version == 0 {
		written, err = store.Create(ctx, kind, pointerName, value)
	} else {
		written, err = store.Update(ctx, kind, pointerName, version, value)
	}
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		// Somebody else was first; the conflict carries the object as it is.
		c.point(conflict.Current, false, nil)
		return
	}
	c.point(storer.Object{
		Version: written,
		Value:   value,
	}, err == nil, err)
}

// point hands the outcome of a call about the pointer to the control goroutine.
func (c *Coordinator) point(o storer.Object, written bool, err error) {
	m := pointed{
		written: written,
		err:     err,
		pointer: convener.Pointer{
			Version: o.Version,
		},
	}
	if err == nil && o.Version != 0 {
		m.err = json.Unmarshal(o.Value, &m.pointer.Leader)
	}
	c.messages <- m
}

func (c *Coordinator) self() convener.Peer {
	return convener.Peer{
		Name:    c.options.Self.Name,
		Address: c.options.Self.Peers,
	}
}

func (c *Coordinator) takePointed(ctx context.Context, now time.Time, m pointed) {
	switch {
	case m.err != nil:
		c.act(ctx, c.convener.Unavailable(now))
	case m.written:
		c.convener.Written(now, m.pointer.Version)
		c.act(ctx, nil)
	default:
		c.act(ctx, c.convener.Read(now, m.pointer))
	}
}

func (c *Coordinator) takeJoined(ctx context.Context, now time.Time, m joined) {
	switch {
	case m.err != nil:
		c.act(ctx, c.convener.Refused(now, m.peer))
	case m.answer.Accepted:
		c.follow(now, m)
		early := c.early[m.link]
		delete(c.early, m.link)
		for _, e := range early {
			c.takeInbound(now, e)
		}
		c.act(ctx, nil)
	default:
		c.act(ctx, c.convener.Redirected(now, m.peer, m.answer.Self, m.answer.Leader))
	}
}

// follow hands the leader all that this instance has placed or waits for.
func (c *Coordinator) follow(now time.Time, m joined) {
	c.leader = m.link
	c.leaderName = m.answer.Self.Name
	c.lostLeader = ""
	c.convener.Joined(now, m.answer.Self)
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
		c.scheduler.Withdraw(id)
		c.leader.notify(methodSubmit, encodeRequest(now, w.request))
	}
}

// unfollow places what waits here itself.
func (c *Coordinator) unfollow() {
	if c.leader == nil {
		return
	}
	c.leader.close()
	c.leader = nil
	c.lostLeader = c.leaderName
	c.fed = false
	c.leaderLostStore = false
	c.covered = false
	c.aloneSince = c.options.Clock.Now()
	c.stale = true
	for _, w := range c.waiting {
		c.scheduler.Submit(w.request)
	}
}

func (c *Coordinator) takeUnlinked(ctx context.Context, now time.Time, l *link) {
	delete(c.early, l)
	if l == c.leader {
		c.act(ctx, c.convener.Lost(now))
		return
	}
	if _, follows := c.followers[l]; !follows {
		return
	}
	delete(c.followers, l)
	c.stale = true
	c.options.Log.Info().Str("member", l.member.Name).Msg("coordinator: follower lost")
	for id, owner := range c.owners {
		if owner == l {
			delete(c.owners, id)
			c.withdrawPlaced(now, id)
		}
	}
}

// withdrawPlaced drops a request whether it waits or runs.
func (c *Coordinator) withdrawPlaced(now time.Time, id namer.Request) {
	if !c.scheduler.Withdraw(id) {
		c.scheduler.Ended(now, id, scheduler.Cancelled, "")
	}
}

// takeInbound handles a message of a peer.
func (c *Coordinator) takeInbound(now time.Time, m inbound) {
	if m.method == methodJoin {
		c.admit(now, m)
		return
	}
	var err error
	_, follows := c.followers[m.link]
	switch {
	case m.link == c.leader:
		c.convener.Heard(now)
		err = c.takeLeader(now, m)
	case follows:
		m.link.seen = now
		err = c.takeFollower(now, m)
	case len(c.early[m.link]) < maxEarly:
		// A leader may write before this goroutine has heard that it accepts.
		c.early[m.link] = append(c.early[m.link], m)
	}
	if err != nil {
		c.options.Log.Error().Err(err).Str("method", m.method).Msg("coordinator: message of a peer not readable")
		m.link.close()
	}
}

// maxEarly bounds the messages of a peer that are kept until the outcome of joining it is known.
const maxEarly = 64

// admit answers an instance that wants to follow.
func (c *Coordinator) admit(now time.Time, m inbound) {
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
		m.link.seen = now
		c.followers[m.link] = struct{}{}
		c.stale = true
		// The newcomer has been told nothing, also if the list is the same as before.
		c.told = membersMessage{}
		c.options.Log.Info().Str("member", request.Member.Name).Msg("coordinator: follower joined")
	}
	m.answer(answer)
	if answer.Accepted && !request.Known {
		c.feedAll(m.link)
	}
}

func (c *Coordinator) takeFollower(now time.Time, m inbound) error {
	switch m.method {
	case methodPing:
		return receive(m, func(p pingMessage) {
			if p.Ready != m.link.ready {
				m.link.ready = p.Ready
				c.stale = true
			}
			m.link.reads = p.Reads
			m.link.notify(methodPong, c.reach)
		})
	case methodSubmit:
		return receive(m, func(r requestMessage) {
			c.owners[r.ID] = m.link
			c.scheduler.Submit(r.request(now))
		})
	case methodAdopt:
		return receive(m, func(a adoptMessage) {
			c.owners[a.Request.ID] = m.link
			c.scheduler.Adopt(now, a.Request.request(now), a.Placement, a.Started)
		})
	case methodRead:
		return receive(m, func(o objectsMessage) {
			if err := c.takeObjects(now, o); err != nil {
				c.options.Log.Error().Err(err).Str("member", m.link.member.Name).Msg("coordinator: objects of a reader not readable")
			}
		})
	case methodWithdraw:
		return receive(m, func(p progressMessage) {
			delete(c.owners, p.Request)
			c.withdrawPlaced(now, p.Request)
		})
	case methodStarted:
		return receive(m, func(p progressMessage) {
			c.scheduler.Started(now, p.Request)
		})
	case methodEnded:
		return receive(m, func(p progressMessage) {
			delete(c.owners, p.Request)
			c.scheduler.Ended(now, p.Request, p.Outcome, p.Faulty)
		})
	}
	return nil
}

func (c *Coordinator) takeLeader(now time.Time, m inbound) error {
	switch m.method {
	case methodPong:
		return receive(m, func(p pongMessage) {
			c.covered = p.Covered
			c.takeLeaderStore(now, p.StoreLost)
		})
	case methodObjects:
		var objects objectsMessage
		if err := json.Unmarshal(m.params, &objects); err != nil {
			return err
		}
		return c.takeObjects(now, objects)
	case methodDecision:
		return receive(m, func(d decisionMessage) {
			c.takeDecision(now, d)
		})
	case methodMembers:
		return receive(m, func(list membersMessage) {
			c.members = list.Members
			rank := slices.IndexFunc(list.Line, func(p convener.Peer) bool {
				return p.Name == c.options.Self.Name
			})
			c.rank = rank
			c.convener.SetLine(list.Line, max(0, rank))
			c.stale = true
		})
	}
	return nil
}

func receive[M any](m inbound, handle func(M)) error {
	var message M
	if err := json.Unmarshal(m.params, &message); err != nil {
		return err
	}
	handle(message)
	return nil
}

func (c *Coordinator) takeDecision(now time.Time, d decisionMessage) {
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

// reply gives a decision to the request that waits for it.
func (c *Coordinator) reply(id namer.Request, d scheduler.Decision) {
	w := c.waiting[id]
	delete(c.waiting, id)
	if place, ok := d.(scheduler.Place); ok {
		c.placed[id] = &placed{
			request:   w.request,
			placement: place.Placement,
		}
	}
	w.reply <- d
}

// listMembers returns the instances that callers may use, as this one knows them.
func (c *Coordinator) listMembers() []Member {
	var list []Member
	if c.ready() {
		list = append(list, c.options.Self)
	}
	if c.convener.Role() != convener.Leading {
		for _, m := range c.members {
			if m.Name != c.options.Self.Name && m.Name != c.lostLeader {
				list = append(list, m)
			}
		}
		return list
	}
	for l := range c.followers {
		if l.ready {
			list = append(list, l.member)
		}
	}
	if c.options.Clock.Now().Before(c.inheritUntil) {
		list = c.inherit(list)
	}
	slices.SortFunc(list, func(a, b Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list
}

// inherit adds the members that the leader before has named and that have not joined yet.
func (c *Coordinator) inherit(list []Member) []Member {
	for _, m := range c.members {
		known := slices.ContainsFunc(list, func(k Member) bool { return k.Instance == m.Instance })
		if !known && m.Name != c.options.Self.Name && m.Name != c.lostLeader {
			list = append(list, m)
		}
	}
	return list
}

// membersInterval gathers changes of the members: when a deployment starts, each of many instances joins by itself.
const membersInterval = 150 * time.Millisecond

// tellMembers sends the list to all followers if it has changed.
func (c *Coordinator) tellMembers(now time.Time) {
	if c.convener.Role() != convener.Leading || !c.untold || now.Sub(c.toldAt) < membersInterval {
		return
	}
	c.untold = false
	c.toldAt = now
	message := membersMessage{
		Members: c.View().Members,
		Line:    c.line(),
	}
	if slices.Equal(message.Members, c.told.Members) && slices.Equal(message.Line, c.told.Line) {
		return
	}
	c.told = message
	c.rank = 0
	encoded, err := json.Marshal(message)
	if err != nil {
		c.options.Log.Error().Err(err).Msg("coordinator: members not encoded")
		return
	}
	for l := range c.followers {
		l.notify(methodMembers, json.RawMessage(encoded))
		l.place = slices.IndexFunc(message.Line, func(p convener.Peer) bool { return p.Name == l.member.Name })
	}
}

// line returns this leader and its followers in the order in which they would lead: strong ones first.
func (c *Coordinator) line() []convener.Peer {
	followers := make([]Member, 0, len(c.followers))
	for l := range c.followers {
		followers = append(followers, l.member)
	}
	slices.SortFunc(followers, func(a, b Member) int {
		if a.Strong != b.Strong {
			if a.Strong {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Name, b.Name)
	})
	line := []convener.Peer{c.self()}
	for _, f := range followers {
		line = append(line, convener.Peer{
			Name:    f.Name,
			Address: f.Peers,
		})
	}
	return line
}

// findSilent cuts off followers that say nothing.
func (c *Coordinator) findSilent(now time.Time) {
	for l := range c.followers {
		if now.Sub(l.seen) > c.options.Convener.Silence+c.options.Convener.Ping {
			l.close()
		}
	}
}
