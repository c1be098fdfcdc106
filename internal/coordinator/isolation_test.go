package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/pkg/isolator"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/scheduler"
)

// isolationBound is the time within which all instances must keep a part away from engines. Users allow 3 s after the fifth crash.
const isolationBound = 2 * time.Second

func (i instance) isolates(part namer.Part) bool {
	_, found := i.View().Isolated[part]
	return found
}

// deadlyPart is the part of prompts that crashes engines.
const deadlyPart namer.Part = "deadly"

// reportCrashes reports as many crashes on deadlyPart as the default settings need, one at each of the instances in turn.
func reportCrashes(instances ...instance) {
	for n := range isolator.DefaultSettings().MinCrashes {
		instances[n%len(instances)].Crashed(isolator.Crash{
			Engine:  namer.Target(fmt.Sprint("engine-", deadlyPart, n)),
			Request: namer.Request(fmt.Sprint("request-", deadlyPart, n)),
			Parts:   []namer.Part{"first", deadlyPart},
		})
		instances[0].Sound([]namer.Part{"first"})
		time.Sleep(2 * isolator.DefaultSettings().MinSpacing)
	}
}

// startFleet starts instances that share a store and waits until they have a leader.
func startFleet(t *testing.T, store watchableStore, count int) []instance {
	t.Helper()
	putRules(store, 1)
	instances := make([]instance, 0, count)
	for n := range count {
		instances = append(instances, startInstance(t, store, n))
	}
	for _, i := range instances {
		eventually(t, 5*time.Second, "members", func() bool { return i.knows(1, count) })
	}
	return instances
}

// Guards against requests that crash engines one after the other at a fleet whose instances each see a few of the crashes.
func TestIsolationReachesAllInstances(t *testing.T) {
	store := newStore()
	fleet := startFleet(t, store, 4)
	reportCrashes(fleet...)
	for _, i := range fleet {
		eventually(t, isolationBound, "the part is isolated", func() bool { return i.isolates(deadlyPart) })
		if i.isolates("first") {
			t.Error("a sound part is isolated")
		}
	}
	t.Run("an instance that starts later", func(t *testing.T) {
		late := startInstance(t, store, 9)
		eventually(t, 5*time.Second, "the part is isolated", func() bool { return late.isolates(deadlyPart) })
	})
	t.Run("an answer with the part ends it everywhere", func(t *testing.T) {
		fleet[3].Sound([]namer.Part{deadlyPart})
		for _, i := range fleet {
			eventually(t, isolationBound, "the part is no longer isolated", func() bool { return !i.isolates(deadlyPart) })
		}
	})
}

// storesIsolation reports whether the store holds one isolated part.
func storesIsolation(store watchableStore) bool {
	object, err := store.Get(context.Background(), kindLeaders, pointerName)
	var stored storedPointer
	return err == nil && json.Unmarshal(object.Value, &stored) == nil && len(stored.Isolated) == 1
}

// Guards against an isolation that is lost with a store that was restored from a copy: the leader writes it again.
func TestIsolationOfRestoredStore(t *testing.T) {
	store := newStore()
	store.Restore(store.Copy())
	fleet := startFleet(t, store, 2)
	kept := store.Copy()
	reportCrashes(fleet...)
	eventually(t, isolationBound, "the part is stored", func() bool { return storesIsolation(store) })
	store.Restore(kept)
	if storesIsolation(store) {
		t.Fatal("the copy has the isolation")
	}
	eventually(t, isolationBound, "the part is stored again", func() bool { return storesIsolation(store) })
	for _, i := range fleet {
		if !i.isolates(deadlyPart) {
			t.Error("an instance has lost the isolation")
		}
	}
}

// Guards against an isolation that is lost with the processes that know it: all instances lose power at once.
func TestIsolationOutlastsAllInstances(t *testing.T) {
	store := newStore()
	fleet := startFleet(t, store, 2)
	reportCrashes(fleet...)
	eventually(t, isolationBound, "the part is stored", func() bool { return storesIsolation(store) })
	for _, i := range fleet {
		i.stop()
	}
	after := startInstance(t, store, 7)
	eventually(t, 5*time.Second, "the part is isolated", func() bool { return after.isolates(deadlyPart) })
}

// Guards against an isolation that only one instance has found, while it was cut off from the leader: it brings it along when it joins.
func TestIsolationIsBroughtAlong(t *testing.T) {
	fleet := newFleetLeader(t)
	fleet.join(t, 1)
	params, err := json.Marshal(isolationsMessage{
		Isolations: []isolationEntry{{Part: deadlyPart, Left: time.Hour, Hold: time.Hour}},
	})
	if err != nil {
		t.Fatal(err)
	}
	queued := len(fleet.links[0].sendQueue)
	fleet.leader.handlePeerMessage(fleet.clock.now, peerMessage{link: fleet.links[0], method: methodIsolated, params: params})
	fleet.leader.publish()
	if _, found := fleet.leader.View().Isolated[deadlyPart]; !found {
		t.Error("the leader doesn't isolate the part")
	}
	if len(fleet.links[0].sendQueue) == queued {
		t.Error("the followers aren't told")
	}
}

// Guards against a request that waits for an engine until its deadline although it is known that it can't be served.
func TestWaitingRequestWithIsolatedPartIsRefused(t *testing.T) {
	store := newStore()
	putEngine(store, "a")
	fleet := startFleet(t, store, 1)
	eventually(t, 5*time.Second, "engine", func() bool { return len(fleet[0].View().Catalogue.Targets) == 1 })
	for n := range 16 {
		place(t, fleet[0], fmt.Sprint("running-", n))
	}
	decisions := make(chan scheduler.Decision, 1)
	go func() {
		now := time.Now()
		d, err := fleet[0].Place(context.Background(), scheduler.Request{
			ID:            "waiting",
			Service:       "scribe",
			PromptTokens:  1000,
			OutputTokens:  10,
			Arrived:       now,
			TargetLatency: time.Minute,
			Deadline:      now.Add(time.Minute),
		}, []namer.Part{"first", deadlyPart})
		if err == nil {
			decisions <- d
		}
	}()
	reportCrashes(fleet...)
	select {
	case d := <-decisions:
		if refused, found := d.(scheduler.Refuse); !found || refused.Reason != scheduler.CrashesEngines || refused.RetryAfter <= 0 {
			t.Errorf("got %+v", d)
		}
	case <-time.After(isolationBound):
		t.Error("the request still waits")
	}
}
