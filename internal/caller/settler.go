package caller

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"bergamothollow.example/bergamothollow/pkg/deduplicator"
	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/versioner"
)

// settleInterval is the time between two passes over the records that are not stored yet.
const settleInterval = 250 * time.Millisecond

// settler stores the final records of ended calls, and retries while the store is unreachable.
type settler struct {
	options Options

	mu      sync.Mutex
	machine *deduplicator.Settler
}

func newSettler(o Options) *settler {
	return &settler{
		options: o,
		machine: deduplicator.NewSettler(deduplicator.DefaultSettlerSettings()),
	}
}

func (s *settler) add(a deduplicator.Settle) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.Add(a, s.options.Clock.Now())
}

func (s *settler) pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Pending()
}

func (s *settler) run(ctx context.Context) {
	for {
		select {
		case <-s.options.Clock.After(settleInterval):
			s.perform(ctx, s.tick())
		case <-ctx.Done():
			return
		}
	}
}

func (s *settler) tick() []deduplicator.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Tick(s.options.Clock.Now())
}

func (s *settler) step(name string, attempt int64, event deduplicator.Event) []deduplicator.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Step(name, attempt, event, s.options.Clock.Now())
}

func (s *settler) perform(ctx context.Context, actions []deduplicator.Action) {
	for len(actions) > 0 {
		action := actions[0]
		actions = actions[1:]
		switch a := action.(type) {
		case deduplicator.SettleRead:
			event := readRecord(ctx, s.options.Store, a.Name)
			actions = append(actions, s.step(a.Name, a.Attempt, event)...)
		case deduplicator.SettleCreate:
			event := writeRecord(ctx, s.options.Store, a.Name, 0, a.Record)
			actions = append(actions, s.step(a.Name, a.Attempt, event)...)
		case deduplicator.SettleUpdate:
			event := writeRecord(ctx, s.options.Store, a.Name, a.Version, a.Record)
			actions = append(actions, s.step(a.Name, a.Attempt, event)...)
		}
	}
}

// writeRecord makes a single call to the store, without retries: the state machines resolve a lost answer themselves.
func writeRecord(ctx context.Context, client *storer.Client, name string, version int64, record deduplicator.Record) deduplicator.Event {
	value, err := json.Marshal(record)
	if err != nil {
		return deduplicator.WriteRefused{}
	}
	store := client.WithoutRetry(storer.PriorityNormal)
	var written versioner.Version
	if version == 0 {
		written, err = store.Create(ctx, storer.KindCall, name, value)
	} else {
		written, err = store.Update(ctx, storer.KindCall, name, versioner.Of(version), value)
	}
	return writeEvent(written, err)
}
