package storer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamothollow.example/bergamothollow/internal/schedule"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/versioner"
)

func newTestClient(store Store, clock *skipClock) *Client {
	settings := DefaultClientSettings(100)
	// With short pages, objects change between the pages of a list.
	settings.ListPage = 2
	return NewClient(store, settings, clock, rand.New(rand.NewPCG(1, 1)))
}

func newStamp(writer string, number int64) (Stamp, json.RawMessage) {
	stamp := Stamp{
		Writer:      namer.Holder{Instance: namer.Instance(writer)},
		WriteNumber: number,
	}
	value, _ := json.Marshal(stamp)
	return stamp, value
}

// checkSingleWriter lets one client write an object several times to a faulty store and checks each outcome. There is no
// other writer.
func checkSingleWriter(draw schedule.Draw, readBack bool) error {
	clock := &skipClock{now: time.Unix(1000, 0)}
	store := newFaultyStore(clock)
	client := newTestClient(store, clock)
	store.outcome = func() outcome { return outcome(draw("fate", int(outcomeCount))) }
	version := versioner.Version{}
	for number := int64(1); number <= 6; number++ {
		stamp, value := newStamp("pier-1", number)
		isOwnWrite := OwnWriteByStamp(stamp)
		if !readBack {
			isOwnWrite = nil
		}
		before := store.version
		written, err := client.Update(context.Background(), PriorityControl, KindCell, "c", version, value, isOwnWrite)
		if err := checkOutcome(store, before, written, value, err); err != nil {
			return err
		}
		version = store.version
	}
	return nil
}

func checkOutcome(s *faultyStore, before, written versioner.Version, value json.RawMessage, err error) error {
	var unresolved *UnresolvedError
	stored := s.version.After(before)
	switch {
	case s.version.Number > before.Number+1:
		return fmt.Errorf("%s was written %d times", value, s.version.Number-before.Number)
	case err == nil && (!stored || written != s.version):
		return fmt.Errorf("%s was confirmed at version %d but is not stored at it", value, written)
	case err != nil && stored && !errors.As(err, &unresolved):
		return fmt.Errorf("%s is stored but was reported as not written: %w", value, err)
	}
	return nil
}

// Guards against writes that are stored but reported as failed, stored twice, or confirmed but not stored when responses
// are lost.
func TestWriteOutcomeIsResolved(t *testing.T) {
	schedule.Check(t, 3000, func(draw schedule.Draw) error { return checkSingleWriter(draw, true) })
}

// Guards against a cache that differs from the store after compaction, outages and changes between pages.
func TestWatcherFollowsStore(t *testing.T) {
	schedule.Check(t, 3000, func(draw schedule.Draw) error { return checkWatcher(draw, watcherVariant{}) })
}

// Guards against a cache that keeps what a restored store lacks, or misses what it holds: its revisions go back and are given out again.
func TestWatcherFollowsRestoredStore(t *testing.T) {
	schedule.Check(t, 3000, func(draw schedule.Draw) error { return checkWatcher(draw, watcherVariant{restored: true}) })
}

// Guards against removals that are ignored since they have the version of the object as it was known: others may know a later one, which a
// restored store has lost.
func TestRemovalIsAsRecentAsItsList(t *testing.T) {
	known := Object{Name: "a", Version: versioner.Version{Era: 1, Number: 9}}
	c := cache{objects: map[string]Object{"a": known}, version: known.Version}
	list := versioner.Version{Era: 2, Number: 4}
	events := c.relist(Listing{Version: list})
	if len(events) != 1 || events[0].Type != EventDelete || events[0].Object.Version != list {
		t.Errorf("got %+v, want a removal at %+v", events, list)
	}
}

// Guards against checks that pass for any implementation: they must fail when a mechanism is left out.
func TestVariantsAreCaught(t *testing.T) {
	schedule.RequireFailures(t, 2000, map[string]func(schedule.Draw) error{
		"no check for own writes": func(draw schedule.Draw) error { return checkSingleWriter(draw, false) },
		"gaps are not reported": func(draw schedule.Draw) error {
			return checkWatcher(draw, watcherVariant{hideCompaction: true})
		},
		"the era isn't stated": func(draw schedule.Draw) error {
			return checkWatcher(draw, watcherVariant{restored: true, hideEra: true})
		},
	})
}

// Guards against a policy that retries a write that may have taken effect, or gives up too early.
func TestRetryPolicy(t *testing.T) {
	policy := DefaultRetryPolicy()
	sent := &UnavailableError{Sent: true, Cause: errLost}
	for _, c := range []struct {
		name    string
		attempt int
		write   bool
		err     error
		want    Decision
	}{
		{"read retried", 1, false, sent, Retry{Delay: 25 * time.Millisecond}},
		{"write read back", 1, true, sent, ReadBack{Delay: 25 * time.Millisecond}},
		{"write not sent", 2, true, &UnavailableError{Cause: errLost}, Retry{Delay: 50 * time.Millisecond}},
		{"throttled", 3, true, &ThrottledError{}, Retry{Delay: 100 * time.Millisecond}},
		{"conflict", 1, true, &ConflictError{}, GiveUp{}},
		{"budget", 1, true, &BudgetError{}, GiveUp{}},
		{"no attempts left", 5, true, sent, GiveUp{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			convey.Convey(c.name, t, func() {
				convey.So(policy.Decide(c.attempt, c.write, c.err, 0), convey.ShouldResemble, c.want)
			})
		})
	}
	convey.Convey("delays are bounded and spread over the upper half", t, func() {
		convey.So(policy.delay(40, 0), convey.ShouldEqual, time.Second)
		convey.So(policy.delay(40, 0.5), convey.ShouldEqual, 1500*time.Millisecond)
	})
}

// Guards against call records and refusal records that use up the call budget needed for membership and ownership.
func TestBudgetKeepsControlReserve(t *testing.T) {
	clock := &skipClock{now: time.Unix(1000, 0)}
	settings := DefaultClientSettings(10)
	settings.BudgetWait = 0
	client := NewClient(newFaultyStore(clock), settings, clock, rand.New(rand.NewPCG(1, 1)))
	frozen := clock.now
	calls := func(priority Priority) int {
		for n := 0; ; n++ {
			clock.now = frozen
			_, err := client.WithoutRetry(priority).Instances(context.Background())
			if errors.As(err, new(*BudgetError)) {
				return n
			}
		}
	}
	convey.Convey("normal calls leave the reserve, control calls use it", t, func() {
		convey.So(calls(PriorityNormal), convey.ShouldEqual, 15)
		convey.So(calls(PriorityControl), convey.ShouldEqual, 5)
		convey.So(client.Counters().Instances, convey.ShouldEqual, 20)
		convey.So(client.Counters().BudgetRefusals, convey.ShouldEqual, 2)
	})
}

// Guards against a delete that is reported as failed after a lost response, and a cache whose age is reported too low.
func TestDeleteAndAge(t *testing.T) {
	clock := &skipClock{now: time.Unix(1000, 0)}
	store := newFaultyStore(clock)
	version := store.put(KindCall, "k", nil)
	outcomes := []outcome{outcomeLostAfter}
	store.outcome = func() outcome {
		if len(outcomes) == 0 {
			return outcomeOK
		}
		next := outcomes[0]
		outcomes = outcomes[1:]
		return next
	}
	client := newTestClient(store, clock)
	watcher := NewWatcher(client, WatcherSettings{Kind: KindCall})
	convey.Convey("the delete is resolved and the cache ages", t, func() {
		convey.So(client.Delete(context.Background(), PriorityNormal, KindCall, "k", version), convey.ShouldBeNil)
		convey.So(client.Counters().ReadBacks, convey.ShouldEqual, 1)
		convey.So(watcher.Read().Listed, convey.ShouldBeFalse)
		convey.So(watcher.list(context.Background()), convey.ShouldBeNil)
		clock.now = clock.now.Add(time.Minute)
		convey.So(watcher.Read().Age, convey.ShouldEqual, time.Minute)
	})
}

// idleStore has no changes; its first watch fails.
type idleStore struct {
	*faultyStore
	waits []time.Duration
}

func (s *idleStore) Watch(ctx context.Context, kind Kind, after versioner.Version, wait time.Duration) (Changes, error) {
	s.waits = append(s.waits, wait)
	if len(s.waits) == 1 {
		return Changes{}, &UnavailableError{Sent: true, Cause: errLost}
	}
	return s.faultyStore.Watch(ctx, kind, after, wait)
}

// Guards against a watcher that notices the recovery of an idle store only after the whole wait of a watch. It happens
// after an outage of the platform (scenario platform_down) and when the connection of a waiting watch is cut.
func TestRecoveryIsNoticedAtOnce(t *testing.T) {
	clock := &skipClock{now: time.Unix(1000, 0)}
	store := &idleStore{faultyStore: newFaultyStore(clock)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var lost, back time.Time
	w := NewWatcher(newTestClient(store, clock), WatcherSettings{
		Kind: KindMember,
		Wait: 10 * time.Second,
		OnResult: func(err error) {
			switch {
			case err != nil:
				lost = clock.now
			case !lost.IsZero() && back.IsZero():
				back = clock.now
			case !back.IsZero():
				cancel()
			}
		},
	})
	w.Run(ctx)
	if took := back.Sub(lost); took > time.Second {
		t.Errorf("the recovery was noticed after %v", took)
	}
	if usual := store.waits[2]; usual != 10*time.Second {
		t.Errorf("the watch after the recovery waits %v", usual)
	}
}
