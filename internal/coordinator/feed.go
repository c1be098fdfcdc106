package coordinator

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/convener"
	"bergamothollow.example/bergamothollow/pkg/storer"
)

const (
	// readers is the number of instances that watch the store, the leader included. They tell the leader what they read, and it
	// feeds the others, so that the calls do not grow with the deployment and no single instance must reach the store.
	readers = 3
	// substituteInterval is how long those that ask in the readers' place have for an answer, which takes milliseconds or the
	// time of two failed calls.
	substituteInterval = time.Second
	// maxSubstitutes bounds them: the store may be down for all, and each call is priced.
	maxSubstitutes = 9
	// feedInterval gathers changes before they are sent on: rules may change every 60 ms, and users allow 2 s.
	feedInterval = 200 * time.Millisecond
	// aloneTime is how long an instance that is not fed waits for a leader before it watches the store itself.
	aloneTime = 700 * time.Millisecond
	// feederWait is how long the watches of a leader wait that feeds others: its loss of the store is theirs.
	feederWait = 600 * time.Millisecond
	// maxFeedBytes bounds what a leader may send; the largest rules are below the store's limit of 1 MB.
	maxFeedBytes = 64 << 20
)

// kinds are the kinds of objects that every instance must know.
func (c *Coordinator) kinds() []storer.Kind {
	return []storer.Kind{c.options.Format.Rules, c.options.Format.Targets, c.options.Format.Evacuations}
}

// followStore starts or stops the watches, according to this instance's role and place in line.
func (c *Coordinator) followStore(ctx context.Context, now time.Time) {
	following := c.convener.Role() == convener.Following
	substitute := c.leaderLostStore && (c.reads() || !c.covered && c.rank < readers+c.substitutes(now))
	if following && c.rank >= readers && c.fed && !substitute {
		if c.stopWatching != nil {
			c.stopWatching()
			c.stopWatching = nil
			clear(c.lost)
			clear(c.failures)
			clear(c.answered)
			c.options.Log.Info().Int("rank", c.rank).Msg("coordinator: fed by the leader")
		}
		c.aloneSince = now
		return
	}
	wait := c.options.WatchWait
	if c.convener.Role() == convener.Leading && c.large() {
		wait = min(wait, feederWait)
	}
	if c.stopWatching != nil && wait == c.watchWait || c.convener.Role() != convener.Leading && !c.due(now, following) {
		return
	}
	if c.stopWatching != nil {
		c.stopWatching()
	}
	c.watchWait = wait
	watching, stop := context.WithCancel(ctx)
	c.stopWatching = stop
	c.options.Log.Info().Int("rank", c.rank).Msg("coordinator: watching the store")
	for _, kind := range c.kinds() {
		c.watch(watching, kind)
	}
}

// large reports whether there are instances that do not watch the store.
func (c *Coordinator) large() bool {
	return max(len(c.followers)+1, len(c.members)) > readers
}

// takeLeaderStore notes whether the leader can ask the store; entries that lapse meanwhile may come back.
func (c *Coordinator) takeLeaderStore(now time.Time, lost bool) {
	if lost == c.leaderLostStore {
		return
	}
	c.leaderLostStore = lost
	c.leaderLostAt = now
	c.noteOutage(now)
	if c.stopWatching == nil {
		// It has taken up to a second and a half to notice; the store is asked at once.
		c.aloneSince = time.Time{}
	}
	c.options.Log.Info().Bool("lost", lost).Msg("coordinator: store of the leader")
}

// due reports whether an instance that does not lead should ask the store itself.
func (c *Coordinator) due(now time.Time, following bool) bool {
	if following && c.rank < readers && c.rank >= 0 {
		return true
	}
	return now.Sub(c.aloneSince) > aloneTime
}

// remember keeps an object as the store has it, and reports whether it is new.
func (c *Coordinator) remember(e storer.Event) bool {
	objects := c.objects[e.Object.Kind]
	if objects == nil {
		objects = map[string]storer.Object{}
		c.objects[e.Object.Kind] = objects
	}
	known, exists := objects[e.Object.Name]
	if exists && known.Version > e.Object.Version || exists && known.Version == e.Object.Version && e.Type == storer.EventPut {
		return false
	}
	if e.Type == storer.EventPut && c.removed[objectKey{e.Object.Kind, e.Object.Name}] >= e.Object.Version {
		return false
	}
	c.whole = nil
	if e.Type == storer.EventDelete {
		delete(objects, e.Object.Name)
		c.bury(e.Object, known)
		return exists
	}
	objects[e.Object.Name] = e.Object
	return true
}

// objectKey names an object of the store.
type objectKey struct {
	kind storer.Kind
	name string
}

// maxRemoved bounds the removed objects that are remembered; an old one that another reader still reports is then believed
// until that reader reports its removal, too.
const maxRemoved = 4096

// bury remembers the version at which an object was removed: readers hear of changes at different times, and an older state
// that a slow one reports must not bring the object back.
func (c *Coordinator) bury(gone, known storer.Object) {
	if len(c.removed) >= maxRemoved {
		clear(c.removed)
	}
	c.removed[objectKey{gone.Kind, gone.Name}] = max(gone.Version, known.Version)
}

// observe takes a change that this instance has read in the store, and keeps it for the leader.
func (c *Coordinator) observe(now time.Time, e storer.Event) {
	if c.change(now, e) && c.leader != nil {
		c.unread = append(c.unread, e)
	}
}

// tellLeader sends the leader what this instance has read.
func (c *Coordinator) tellLeader() {
	if len(c.unread) == 0 {
		return
	}
	if c.leader != nil {
		if m := c.pack(c.unread, false); m != nil {
			c.leader.notify(methodRead, m)
		}
	}
	c.unread = nil
}

// reads reports whether this instance asks the store and is answered.
func (c *Coordinator) reads() bool {
	if c.stopWatching == nil {
		return false
	}
	for _, kind := range c.kinds() {
		if !c.answered[kind] || c.lost[kind] {
			return false
		}
	}
	return true
}

// pong says whether this leader and those that read for it reach the store.
func (c *Coordinator) pong() pongMessage {
	m := pongMessage{
		StoreLost: c.storeLost(),
	}
	for l := range c.followers {
		if l.reads && l.place < readers {
			m.StoreLost = false
		}
		if l.reads && l.place >= readers {
			m.Covered = true
		}
	}
	return m
}

// substitutes is how many of those that are fed ask the store themselves: the next in line each second, until one of them
// is answered.
func (c *Coordinator) substitutes(now time.Time) int {
	rounds := 1 + int(now.Sub(c.leaderLostAt)/substituteInterval)
	return min(rounds*readers, maxSubstitutes)
}

// noteOutage tells the catalogue whether targets may lapse: they do while no instance reaches the store, and not while it
// turns this one away only.
func (c *Coordinator) noteOutage(now time.Time) {
	outage := c.storeLost()
	switch c.convener.Role() {
	case convener.Leading:
		pong := c.pong()
		outage = pong.StoreLost && !pong.Covered
	case convener.Following:
		outage = c.leaderLostStore && !c.covered && !c.reads()
	case convener.Searching:
	}
	c.catalogue.SetStore(now, !outage)
}

// feed sends gathered changes to the followers that do not watch the store, and everything to those that are new among
// them.
func (c *Coordinator) feed(now time.Time) {
	if c.convener.Role() != convener.Leading {
		c.unfed = nil
		return
	}
	if now.Sub(c.fedAt) < feedInterval {
		return
	}
	c.fedAt = now
	events := c.unfed
	c.unfed = nil
	var changes json.RawMessage
	for l := range c.followers {
		switch {
		case l.place < readers && l.reads:
			// It watches the store itself; should it lose its place or the store, it needs everything.
			l.fed = false
		case !l.fed:
			c.feedAll(l)
		case len(events) > 0:
			if changes == nil {
				changes = c.pack(events, false)
			}
			l.notify(methodObjects, changes)
		}
	}
}

// feedAll sends all objects to a follower. Many join at the same moment, so that the message is kept until the objects change.
func (c *Coordinator) feedAll(l *link) {
	if c.whole == nil {
		c.whole = c.packAll()
	}
	if c.whole != nil {
		l.fed = true
		l.notify(methodObjects, c.whole)
	}
}

func (c *Coordinator) packAll() json.RawMessage {
	var events []storer.Event
	for _, kind := range c.kinds() {
		for _, o := range c.objects[kind] {
			events = append(events, storer.Event{
				Type:   storer.EventPut,
				Object: o,
			})
		}
	}
	if len(events) == 0 {
		return nil
	}
	return c.pack(events, true)
}

// pack encodes a message once for all its receivers.
func (c *Coordinator) pack(events []storer.Event, whole bool) json.RawMessage {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	err := json.NewEncoder(w).Encode(events)
	if err == nil {
		err = w.Close()
	}
	var message json.RawMessage
	if err == nil {
		message, err = json.Marshal(objectsMessage{
			Whole:  whole,
			Events: packed.Bytes(),
		})
	}
	if err != nil {
		c.options.Log.Error().Err(err).Msg("coordinator: objects not packed")
	}
	return message
}

// takeObjects applies what the leader knows of the store.
func (c *Coordinator) takeObjects(now time.Time, m objectsMessage) error {
	r, err := gzip.NewReader(bytes.NewReader(m.Events))
	if err != nil {
		return err
	}
	var events []storer.Event
	if err := json.NewDecoder(io.LimitReader(r, maxFeedBytes)).Decode(&events); err != nil {
		return err
	}
	if m.Whole {
		events = append(c.absent(events), events...)
	}
	for _, e := range events {
		c.change(now, e)
	}
	if c.leader != nil {
		c.fed = true
	}
	return nil
}

// absent returns deletions of the objects that a whole description lacks. Instances that watch the store know better.
func (c *Coordinator) absent(events []storer.Event) []storer.Event {
	if c.reads() {
		return nil
	}
	var gone []storer.Event
	for _, kind := range c.kinds() {
		for name, o := range c.objects[kind] {
			listed := slices.ContainsFunc(events, func(e storer.Event) bool {
				return e.Object.Kind == kind && e.Object.Name == name
			})
			if !listed {
				gone = append(gone, storer.Event{
					Type:   storer.EventDelete,
					Object: o,
				})
			}
		}
	}
	return gone
}

// storeLost reports whether any watch of this instance fails.
func (c *Coordinator) storeLost() bool {
	for _, kind := range c.kinds() {
		if c.lost[kind] {
			return true
		}
	}
	return false
}
