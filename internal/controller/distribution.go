package controller

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"bergamothollow.example/bergamothollow/internal/messenger"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/roller"
	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/tracker"
)

// watchWait is the timeout of one long-poll watch call. It is well under the time in which a departure must be in force,
// because a connection that stopped responding hides changes until the timeout.
const watchWait = 2 * time.Second

func (c *Controller) handleDistribution(m message, now time.Time) {
	switch m := m.(type) {
	case bundleRequested:
		signed, _ := c.follower.InForce()
		m.reply <- signed
	case departuresRequested:
		version, departure := c.tracker.Departures()
		m.reply <- messenger.FetchDepartureAnswer{
			Version:   version,
			Departure: departure,
		}
	case departuresFetched:
		c.handleDeparturesFetched(m, now)
	case departuresRead:
		c.handleDeparturesRead(m, now)
	case bundleFetched:
		c.handleBundleFetched(m, now)
	case pointerRead:
		c.handlePointerRead(m, now)
	}
}

func (c *Controller) handleDeparturesFetched(m departuresFetched, now time.Time) {
	if m.err != nil {
		c.trackerActions(c.tracker.ObserveFetchFailure(m.peer, now), now)
		return
	}
	c.trackerActions(c.tracker.ObserveDeparture(m.answer.Version, m.answer.Departure, now), now)
	c.confirmDepartures(m.requested, m.answer.Version, now)
}

func (c *Controller) handleDeparturesRead(m departuresRead, now time.Time) {
	if m.err != nil {
		c.logStoreError("read departures", m.err)
		return
	}
	c.recordStoreContact(now)
	c.departuresRead = true
	if m.version != 0 {
		c.trackerActions(c.tracker.ObserveDeparture(m.version, m.departure, now), now)
	}
	c.confirmDepartures(m.requested, m.version, now)
}

func (c *Controller) handleBundleFetched(m bundleFetched, now time.Time) {
	if m.err != nil {
		c.followerActions(c.follower.ObserveFetchFailure(m.source, now), now)
		return
	}
	if m.source == roller.FromStore {
		c.recordStoreContact(now)
	}
	c.followerActions(c.follower.ReceiveBundle(m.source, m.signed, now), now)
}

func (c *Controller) handlePointerRead(m pointerRead, now time.Time) {
	if m.err != nil {
		c.logStoreError("read bundle pointer", m.err)
		return
	}
	c.recordStoreContact(now)
	if m.missing {
		return
	}
	c.followerActions(c.follower.ObservePointer(m.pointer, now), now)
}

func (c *Controller) followerActions(actions []roller.Action, now time.Time) {
	for _, a := range actions {
		switch a := a.(type) {
		case roller.PutInForce:
			c.putInForce(a, now)
		case roller.FetchFromPeer:
			c.fetchBundleFromPeer(a, now)
		case roller.FetchFromStore:
			c.fetchBundleFromStore(a)
		case roller.ReadPointer:
			c.readPointer()
		case roller.StartWatch:
			c.startWatch()
		case roller.StopWatch:
			c.stopWatch()
		case roller.ReportRejected:
			c.options.Log.Warn().Str("source", string(a.Source)).Int64("sequence", a.Sequence).Err(a.Err).Msg("roller: bundle rejected")
		}
	}
}

func (c *Controller) putInForce(a roller.PutInForce, now time.Time) {
	c.bundle = a.Bundle
	c.bundleInForce = true
	c.traffic.setBundle(a.Bundle)
	c.tracker.SetBundle(a.Bundle.Sequence)
	c.orderActions(c.orders.SetWanted(a.Bundle.Orders, now), now)
	c.options.Log.Info().Int64("sequence", a.Bundle.Sequence).Msg("roller: bundle in force")
	c.serveWhenReady(now)
}

// serveWhenReady changes the member state from starting to serving once a bundle is in force.
func (c *Controller) serveWhenReady(now time.Time) {
	if c.tracker.State() == tracker.StateStarting && c.follower.Ready() {
		c.trackerActions(c.tracker.Serve(now), now)
	}
}

func (c *Controller) fetchBundleFromPeer(a roller.FetchFromPeer, now time.Time) {
	address := c.peerAddress(a.Peer, now)
	c.startIO(peerTimeout, func(ctx context.Context) message {
		signed, err := c.options.Peers.FetchBundle(ctx, address, messenger.FetchBundleRequest{
			Sequence: a.Sequence,
		})
		return bundleFetched{
			source: a.Peer,
			signed: signed,
			err:    err,
		}
	})
}

func (c *Controller) fetchBundleFromStore(a roller.FetchFromStore) {
	c.startIO(c.storeTimeout(), func(ctx context.Context) message {
		fetched := bundleFetched{
			source: roller.FromStore,
		}
		object, err := c.options.Store.Get(ctx, storer.PriorityControl, storer.KindBundle, strconv.FormatInt(a.Sequence, 10))
		if err != nil {
			fetched.err = err
			return fetched
		}
		fetched.err = json.Unmarshal(object.Value, &fetched.signed)
		return fetched
	})
}

func (c *Controller) readPointer() {
	c.startIO(c.storeTimeout(), func(ctx context.Context) message {
		object, err := c.options.Store.Get(ctx, storer.PriorityControl, storer.KindBundlePointer, storer.CurrentName)
		return decodePointer(object, err)
	})
}

func decodePointer(object storer.Object, err error) pointerRead {
	var missing *storer.NotFoundError
	read := pointerRead{
		missing: errors.As(err, &missing),
	}
	if err != nil && !read.missing {
		read.err = err
	}
	if err == nil {
		read.err = json.Unmarshal(object.Value, &read.pointer)
	}
	return read
}

func (c *Controller) readDeparture(now time.Time) {
	c.startIO(c.storeTimeout(), func(ctx context.Context) message {
		object, err := c.options.Store.Get(ctx, storer.PriorityControl, storer.KindDeparture, storer.CurrentName)
		var missing *storer.NotFoundError
		if errors.As(err, &missing) {
			return departuresRead{
				requested: now,
			}
		}
		if err != nil {
			return departuresRead{
				err: err,
			}
		}
		read := decodeDeparture(object)
		read.requested = now
		return read
	})
}

func decodeDeparture(object storer.Object) departuresRead {
	read := departuresRead{
		version: object.Number,
	}
	read.err = json.Unmarshal(object.Value, &read.departure)
	return read
}

// startWatch watches the bundle pointer and the departures in the store until stopWatch is called.
func (c *Controller) startWatch() {
	if c.cancelWatch != nil {
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	c.cancelWatch = cancel
	c.startWatcher(ctx, storer.KindBundlePointer, func(o storer.Object) message {
		return decodePointer(o, nil)
	})
	c.startWatcher(ctx, storer.KindDeparture, func(o storer.Object) message {
		return decodeDeparture(o)
	})
}

func (c *Controller) stopWatch() {
	if c.cancelWatch != nil {
		c.cancelWatch()
		c.cancelWatch = nil
	}
}

func (c *Controller) startWatcher(ctx context.Context, kind storer.Kind, decode func(storer.Object) message) {
	watcher := storer.NewWatcher(c.options.Store, storer.WatcherSettings{
		Kind: kind,
		Wait: watchWait,
		OnEvent: func(e storer.Event) {
			if e.Type == storer.EventPut {
				c.post(ctx, decode(e.Object))
			}
		},
	})
	go watcher.Run(ctx)
}

func (c *Controller) peerAddress(instance namer.Instance, now time.Time) string {
	for _, p := range c.tracker.Peers(now) {
		if p.Holder.Instance == instance {
			return p.PeerAddress
		}
	}
	return ""
}

func (c *Controller) holderAddress(holder namer.Holder, now time.Time) string {
	for _, p := range c.tracker.Peers(now) {
		if p.Holder == holder {
			return p.PeerAddress
		}
	}
	return ""
}
