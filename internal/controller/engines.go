package controller

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"net/http"
	"time"

	"bergamothollow.example/bergamothollow/internal/streamer"
	"bergamothollow.example/bergamothollow/pkg/allocator"
	"bergamothollow.example/bergamothollow/pkg/elector"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/reserver"
)

const (
	// engineTimeout bounds the short calls to engines.
	engineTimeout = time.Second
	// prefillWindow is the time in which the prefill of a full quota would be done on a warm engine; it bounds the
	// prompt tokens that wait for prefill on a target.
	prefillWindow = 4 * time.Second
)

func (c *Controller) fence(a elector.FenceTarget) {
	address := c.targets[a.Target].Address
	c.start(engineTimeout, func(ctx context.Context) message {
		return fenceAnswered{
			target: a.Target,
			epoch:  a.Epoch,
			err: c.options.Engines.Order(ctx, address, streamer.Order{
				Epoch: a.Epoch,
				Kind:  streamer.OrderFence,
			}),
		}
	})
}

func (c *Controller) cancelAtEngine(target namer.Target, request namer.Request) {
	address := c.targets[target].Address
	c.start(engineTimeout, func(ctx context.Context) message {
		if err := c.options.Engines.Cancel(ctx, address, string(request)); err != nil {
			c.options.Log.Debug().Err(err).Msg("controller: cancel failed")
		}
		return nil
	})
}

// listEngines reads the request lists of the owned targets, for reconciliation.
func (c *Controller) listEngines(now time.Time) {
	for id := range c.owned {
		c.listEngine(id, now)
	}
}

func (c *Controller) listEngine(id namer.Target, now time.Time) {
	address := c.targets[id].Address
	c.start(engineTimeout, func(ctx context.Context) message {
		list, err := c.options.Engines.Requests(ctx, address)
		return engineListed{
			target:    id,
			requested: now,
			list:      list,
			err:       err,
		}
	})
}

func (c *Controller) readLoads() {
	for id := range c.owned {
		address := c.targets[id].Address
		c.start(engineTimeout, func(ctx context.Context) message {
			load, err := c.options.Engines.Load(ctx, address)
			return engineLoaded{
				target: id,
				load:   load,
				err:    err,
			}
		})
	}
}

// readCaches reads the prefix cache events of the owned targets.
func (c *Controller) readCaches() {
	for _, id := range c.holding() {
		address := c.targets[id].Address
		after := c.traffic.cacheAfter(id)
		c.start(engineTimeout, func(ctx context.Context) message {
			events, err := c.options.Engines.CacheEvents(ctx, address, after)
			return cacheRead{
				target: id,
				events: events,
				err:    err,
			}
		})
	}
}

func (c *Controller) handleEngine(m message, now time.Time) {
	switch m := m.(type) {
	case engineListed:
		c.takeEngineList(m, now)
	case engineLoaded:
		c.takeLoad(m, now)
	case cacheRead:
		if m.err == nil {
			c.traffic.takeCache(m.target, m.events, now)
		}
	case fenceAnswered:
		c.takeFence(m, now)
	}
}

func (c *Controller) takeEngineList(m engineListed, now time.Time) {
	if m.err != nil {
		return
	}
	running := make([]allocator.Running, 0, len(m.list.Requests))
	for _, r := range m.list.Requests {
		running = append(running, allocator.Running{
			Request:        namer.Request(r.RequestID),
			Holder:         namer.ParseHolder(r.Holder),
			Epoch:          r.Epoch,
			ReservedTokens: r.ReservedTokens,
			ProducedTokens: r.ProducedTokens,
		})
	}
	c.toAllocator(m.target, allocator.Listed{
		Boot:      shortBoot(m.list.BootID),
		Requested: m.requested,
		Requests:  running,
	}, now)
	c.sawBoot(m.target, shortBoot(m.list.BootID), now)
	c.loseHolders(m.target, running, now)
}

// loseHolders tells the allocator which holders of running requests are confirmed gone.
func (c *Controller) loseHolders(target namer.Target, running []allocator.Running, now time.Time) {
	told := map[namer.Holder]bool{}
	for _, r := range running {
		if told[r.Holder] || r.Holder == c.options.Self {
			continue
		}
		told[r.Holder] = true
		if c.tracker.ConfirmedGone(r.Holder, now) {
			c.toAllocator(target, allocator.HolderLost{
				Holder: r.Holder,
			}, now)
		}
	}
}

func (c *Controller) takeLoad(m engineLoaded, now time.Time) {
	if m.err != nil {
		return
	}
	c.toAllocator(m.target, allocator.LoadReported{
		Boot:        shortBoot(m.load.BootID),
		Age:         time.Duration(m.load.AgeMS) * time.Millisecond,
		Cold:        m.load.Cold,
		QueueTokens: m.load.QueueTokens,
	}, now)
	c.orderActions(c.orders.ObserveBoot(m.target, m.load.BootID, now), now)
	c.sawBoot(m.target, shortBoot(m.load.BootID), now)
}

// shortBoot shortens the boot id of an engine for messages: 64 bits of a hash tell one boot from the next.
func shortBoot(id string) string {
	if id == "" {
		return ""
	}
	digest := sha256.Sum256([]byte(id))
	return base64.RawURLEncoding.EncodeToString(digest[:8])
}

// sawBoot notes the boot id that an engine reported; a new one means that its memory is empty.
func (c *Controller) sawBoot(target namer.Target, boot string, now time.Time) {
	if boot == "" || c.boots[target] == boot || c.pastBoots[boot] {
		return
	}
	known := c.boots[target] != ""
	if known {
		// Answers can arrive out of order: one from before the restart must not undo what came after it.
		c.pastBoots[c.boots[target]] = true
	}
	c.boots[target] = boot
	c.electorActions(c.elector.Handle(elector.BootSeen{
		Target: target,
		Boot:   boot,
	}, now), now)
	if !known {
		return
	}
	c.options.Log.Warn().Str("target", string(target)).Msg("controller: target restarted")
	c.traffic.restarted(target)
	c.reserverActions(c.reserver.Handle(reserver.TargetRestarted{
		Target: target,
		Boot:   boot,
	}, now), now)
}

// staleEpoch notes that an engine rejected an epoch of this instance.
func (c *Controller) staleEpoch(target namer.Target, epoch namer.Epoch, now time.Time) {
	c.electorActions(c.elector.Handle(elector.EpochRejected{
		Target: target,
		Epoch:  epoch,
	}, now), now)
}

func (c *Controller) takeFence(m fenceAnswered, now time.Time) {
	var engine *streamer.EngineError
	refused := errors.As(m.err, &engine) && engine.Status == http.StatusConflict
	if m.err != nil && !refused {
		// An engine that gave no answer is asked again by the elector.
		return
	}
	c.electorActions(c.elector.Handle(elector.FenceAnswered{
		Target:   m.target,
		Epoch:    m.epoch,
		Boot:     c.boots[m.target],
		Accepted: m.err == nil,
	}, now), now)
}
