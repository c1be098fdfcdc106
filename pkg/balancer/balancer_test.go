package balancer

import (
	"fmt"
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

var start = time.Unix(1_800_000_000, 0)

func newFixture(targets int) *Balancer {
	b := New(DefaultSettings(), "near")
	var list []Target
	for i := range targets {
		centre := namer.DataCentre("far")
		if i == 0 {
			centre = "near"
		}
		list = append(list, Target{
			ID:         namer.Target(fmt.Sprint("target-", i)),
			Service:    "ledger",
			DataCentre: centre,
			Slots:      6,
		})
	}
	b.SetTargets(list)
	return b
}

func mustPick(t *testing.T, b *Balancer, now time.Time, exclude ...namer.Target) Target {
	t.Helper()
	target, found := b.Pick(now, "ledger", exclude)
	if !found {
		t.Fatal("no target")
	}
	return target
}

// Guards against a choice whose run time grows with the age of a target's last outcome: the first gateway spent all its
// processor time on targets without any outcome.
func TestChoiceIsQuickForNewTargets(t *testing.T) {
	b := newFixture(3)
	began := time.Now()
	for range 100 {
		b.Done(start, mustPick(t, b, start).ID, Abandoned)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("100 choices took %s", took)
	}
}

// Guards against unnecessary traffic between data centres, and against sending every request to the near target.
func TestNearFirstThenLeastBusy(t *testing.T) {
	b := newFixture(3)
	if first := mustPick(t, b, start); first.DataCentre != "near" {
		t.Errorf("the first request went to %s", first.ID)
	}
	used := map[namer.Target]int{}
	for range 18 {
		used[mustPick(t, b, start).ID]++
	}
	if len(used) != 3 {
		t.Errorf("18 requests used %v", used)
	}
}

// Guards against requests to a target that fails some of them while its liveness check passes (scenario srv_grey).
func TestFailingTargetIsAvoidedAndTriedAgain(t *testing.T) {
	for _, outcome := range []Outcome{Failed, Unreachable, Rejected} {
		t.Run(fmt.Sprint(outcome), func(t *testing.T) {
			b := newFixture(2)
			for range 4 {
				target := mustPick(t, b, start, "target-1")
				b.Done(start, target.ID, outcome)
			}
			if next := mustPick(t, b, start); next.ID != "target-1" {
				t.Errorf("the failing target was chosen again")
			}
			later := start.Add(time.Minute)
			b.Done(later, "target-1", Answered)
			if next := mustPick(t, b, later); next.ID != "target-0" {
				t.Errorf("the target is still avoided after a minute")
			}
		})
	}
}

// Guards against retrying a request on a target where it has already failed.
func TestExcludedTargets(t *testing.T) {
	b := newFixture(1)
	if _, found := b.Pick(start, "ledger", []namer.Target{"target-0"}); found {
		t.Error("an excluded target was chosen")
	}
	if _, found := b.Pick(start, "other", nil); found {
		t.Error("a target of another service was chosen")
	}
}
