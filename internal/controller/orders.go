package controller

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"bergamothollow.example/bergamothollow/internal/streamer"
	"bergamothollow.example/bergamothollow/pkg/deduplicator"
	"bergamothollow.example/bergamothollow/pkg/limiter"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/reconciler"
	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/versioner"
)

const (
	orderBurst = 1
	// sweepRate is the number of old call records that each instance with a store watch removes per second.
	sweepRate  = 5
	sweepBurst = 10
)

// Results of engine orders and of listing old call records.
type (
	orderAnswered struct {
		target namer.Target
		number int64
		err    error
	}
	callRecordsListed struct {
		objects []storer.Object
		err     error
	}
)

func (orderAnswered) message()     {}
func (callRecordsListed) message() {}

// newReconciler returns a reconciler that limits its load orders to the rate that the weight store can serve.
func newReconciler(now time.Time) *reconciler.Reconciler {
	bucket := limiter.NewBucket(reconciler.LoadsPerSecond, orderBurst, now)
	return reconciler.New(reconciler.DefaultSettings(), bucket)
}

func newSweeper(now time.Time) *deduplicator.Sweeper {
	return deduplicator.NewSweeper(deduplicator.DefaultSweeperSettings(), limiter.NewBucket(sweepRate, sweepBurst, now), now)
}

func (c *Controller) handleOrder(m message, now time.Time) {
	switch m := m.(type) {
	case orderAnswered:
		c.orderActions(c.orders.Finish(m.target, m.number, orderResult(m.err), now), now)
	case callRecordsListed:
		if m.err != nil {
			c.logStoreError("list call records", m.err)
			return
		}
		c.sweepActions(c.sweeper.ObservePage(storedCalls(m.objects), now))
	}
}

func orderResult(err error) reconciler.Result {
	var engine *streamer.EngineError
	switch {
	case err == nil:
		return reconciler.ResultDone
	case errors.As(err, &engine) && engine.Status == http.StatusConflict:
		return reconciler.ResultStale
	case errors.As(err, &engine) && engine.Status != 0:
		return reconciler.ResultFailed
	default:
		return reconciler.ResultLost
	}
}

func (c *Controller) orderActions(actions []reconciler.Action, now time.Time) {
	for _, a := range actions {
		switch a := a.(type) {
		case reconciler.SendOrder:
			c.sendOrder(a)
		case reconciler.ReportStale:
			c.reportStaleEpoch(a.Target, a.Epoch, now)
		}
	}
}

func (c *Controller) sendOrder(a reconciler.SendOrder) {
	address := c.targets[a.Target].Address
	c.startIO(engineTimeout, func(ctx context.Context) message {
		return orderAnswered{
			target: a.Target,
			number: a.Number,
			err: c.options.Engines.Order(ctx, address, streamer.Order{
				Epoch: a.Epoch,
				Kind:  string(a.Order.Kind),
				Name:  a.Order.Name,
			}),
		}
	})
}

// tickOrders sends due orders. Only instances that watch the store remove old call records, so that not every instance
// lists them.
func (c *Controller) tickOrders(now time.Time) {
	c.orderActions(c.orders.Tick(now), now)
	if c.follower.Watching() {
		c.sweepActions(c.sweeper.Tick(now))
	}
}

func (c *Controller) sweepActions(actions []deduplicator.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case deduplicator.ListPage:
			c.listCalls(a)
		case deduplicator.Delete:
			c.deleteCall(a)
		}
	}
}

func (c *Controller) listCalls(a deduplicator.ListPage) {
	c.startIO(c.storeTimeout(), func(ctx context.Context) message {
		listing, err := c.options.Store.WithoutRetry(storer.PriorityNormal).List(ctx, storer.KindCall, "", a.After, a.Limit)
		return callRecordsListed{
			objects: listing.Items,
			err:     err,
		}
	})
}

func (c *Controller) deleteCall(a deduplicator.Delete) {
	c.startIO(c.storeTimeout(), func(ctx context.Context) message {
		if err := c.options.Store.WithoutRetry(storer.PriorityNormal).Delete(ctx, storer.KindCall, a.Name, versioner.Of(a.Version)); err != nil {
			c.options.Log.Debug().Err(err).Msg("controller: cannot remove old call record")
		}
		return nil
	})
}

func storedCalls(objects []storer.Object) []deduplicator.Stored {
	stored := make([]deduplicator.Stored, 0, len(objects))
	for _, o := range objects {
		call := deduplicator.Stored{
			Name:    o.Name,
			Version: o.Number,
		}
		if json.Unmarshal(o.Value, &call.Record) == nil {
			stored = append(stored, call)
		}
	}
	return stored
}
