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
	// engineTimeout limits control calls to engines.
	engineTimeout = time.Second
	// prefillWindow is how long a warm engine takes to prefill the prompt tokens of all quotas together; it limits the
	// prompt tokens that are queued for prefill on a target.
	prefillWindow = 4 * time.Second
)

func (c *Controller) fence(a elector.FenceTarget) {
	address := c.targets[a.Target].Address
	c.startIO(engineTimeout, func(ctx context.Context) message {
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
	c.startIO(engineTimeout, func(ctx context.Context) message {
		if err := c.options.Engines.Cancel(ctx, address, string(request)); err != nil {
			c.options.Log.Debug().Err(err).Msg("controller: cannot cancel request at the engine")
		}
		return nil
	})
}

// readEngineRequests reads the running requests of all targets with an allocator, to reconcile the allocators with them.
func (c *Controller) readEngineRequests(now time.Time) {
	for id := range c.allocators {
		c.readTargetRequests(id, now)
	}
}

func (c *Controller) readTargetRequests(id namer.Target, now time.Time) {
	address := c.targets[id].Address
	c.startIO(engineTimeout, func(ctx context.Context) message {
		list, err := c.options.Engines.Requests(ctx, address)
		return engineRequestsRead{
			target:    id,
			requested: now,
			list:      list,
			err:       err,
		}
	})
}

func (c *Controller) readLoads() {
	for id := range c.allocators {
		address := c.targets[id].Address
		c.startIO(engineTimeout, func(ctx context.Context) message {
			load, err := c.options.Engines.Load(ctx, address)
			return engineLoadRead{
				target: id,
				load:   load,
				err:    err,
			}
		})
	}
}

// readCaches reads the new prefix cache events of the owned targets.
func (c *Controller) readCaches() {
	for _, id := range c.ownedTargets() {
		address := c.targets[id].Address
		after := c.traffic.cacheOffset(id)
		c.startIO(engineTimeout, func(ctx context.Context) message {
			events, err := c.options.Engines.CacheEvents(ctx, address, after)
			return cacheEventsRead{
				target: id,
				events: events,
				err:    err,
			}
		})
	}
}

func (c *Controller) handleEngine(m message, now time.Time) {
	switch m := m.(type) {
	case engineRequestsRead:
		c.handleEngineRequests(m, now)
	case engineLoadRead:
		c.handleEngineLoad(m, now)
	case cacheEventsRead:
		if m.err == nil {
			c.traffic.applyCacheEvents(m.target, m.events, now)
		}
	case fenceAnswered:
		c.handleFenceAnswer(m, now)
	}
}

func (c *Controller) handleEngineRequests(m engineRequestsRead, now time.Time) {
	if m.err != nil {
		return
	}
	running := make([]allocator.RunningRequest, 0, len(m.list.Requests))
	for _, r := range m.list.Requests {
		running = append(running, allocator.RunningRequest{
			Request:        namer.Request(r.RequestID),
			Holder:         namer.ParseHolder(r.Holder),
			Epoch:          r.Epoch,
			ReservedTokens: r.ReservedTokens,
			ProducedTokens: r.ProducedTokens,
		})
	}
	c.toAllocator(m.target, allocator.RequestsListed{
		Boot:      shortenBootID(m.list.BootID),
		Requested: m.requested,
		Requests:  running,
	}, now)
	c.observeBootID(m.target, shortenBootID(m.list.BootID), now)
	c.reportLostHolders(m.target, running, now)
}

// reportLostHolders tells the allocator which holders of running requests are confirmed to have stopped.
func (c *Controller) reportLostHolders(target namer.Target, running []allocator.RunningRequest, now time.Time) {
	checked := map[namer.Holder]bool{}
	for _, r := range running {
		if checked[r.Holder] || r.Holder == c.options.Self {
			continue
		}
		checked[r.Holder] = true
		if c.tracker.ConfirmedGone(r.Holder, now) {
			c.toAllocator(target, allocator.HolderLost{
				Holder: r.Holder,
			}, now)
		}
	}
}

func (c *Controller) handleEngineLoad(m engineLoadRead, now time.Time) {
	if m.err != nil {
		return
	}
	c.toAllocator(m.target, allocator.LoadReported{
		Boot:        shortenBootID(m.load.BootID),
		Age:         time.Duration(m.load.AgeMS) * time.Millisecond,
		Cold:        m.load.Cold,
		QueueTokens: m.load.QueueTokens,
	}, now)
	c.orderActions(c.orders.ObserveBoot(m.target, m.load.BootID, now), now)
	c.observeBootID(m.target, shortenBootID(m.load.BootID), now)
}

// shortenBootID returns a 64-bit hash of an engine's boot id, which keeps messages small and still distinguishes boots.
func shortenBootID(id string) string {
	if id == "" {
		return ""
	}
	digest := sha256.Sum256([]byte(id))
	return base64.RawURLEncoding.EncodeToString(digest[:8])
}

// observeBootID records the boot id that an engine reported; a new one means that the engine restarted and lost its memory.
func (c *Controller) observeBootID(target namer.Target, boot string, now time.Time) {
	if boot == "" || c.bootIDs[target] == boot || c.pastBootIDs[boot] {
		return
	}
	known := c.bootIDs[target] != ""
	if known {
		// Answers can arrive out of order: a late one with the old boot id must not look like another restart.
		c.pastBootIDs[c.bootIDs[target]] = true
	}
	c.bootIDs[target] = boot
	c.electorActions(c.elector.Handle(elector.BootSeen{
		Target: target,
		Boot:   boot,
	}, now), now)
	if !known {
		return
	}
	c.options.Log.Warn().Str("target", string(target)).Msg("controller: target restarted")
	c.traffic.targetRestarted(target)
	c.reserverActions(c.reserver.Handle(reserver.TargetRestarted{
		Target: target,
		Boot:   boot,
	}, now), now)
}

// reportStaleEpoch tells the elector that an engine rejected an epoch of this instance.
func (c *Controller) reportStaleEpoch(target namer.Target, epoch namer.Epoch, now time.Time) {
	c.electorActions(c.elector.Handle(elector.EpochRejected{
		Target: target,
		Epoch:  epoch,
	}, now), now)
}

func (c *Controller) handleFenceAnswer(m fenceAnswered, now time.Time) {
	var engine *streamer.EngineError
	refused := errors.As(m.err, &engine) && engine.Status == http.StatusConflict
	if m.err != nil && !refused {
		// The elector fences an engine again that did not answer.
		return
	}
	c.electorActions(c.elector.Handle(elector.FenceAnswered{
		Target:   m.target,
		Epoch:    m.epoch,
		Boot:     c.bootIDs[m.target],
		Accepted: m.err == nil,
	}, now), now)
}
