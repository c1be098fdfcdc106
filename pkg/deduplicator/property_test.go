package deduplicator

import (
	"testing"

	"bergamothollow.example/bergamothollow/internal/schedule"
)

const (
	// scheduleSteps is long enough for several kills and outages within the life of one key.
	scheduleSteps = 80
	// searchLimit bounds the schedules in which a variant must be caught.
	searchLimit = 20000
)

// Guards against a payout that runs twice, and against "not run" said of a call that ran or will run, when instances
// are killed or paused, the store is down, answers are lost, writes land late and messages arrive in any order.
func TestCallRunsAtMostOnce(t *testing.T) {
	reached := map[string]int{}
	schedule.Check(t, 4000, func(draw schedule.Draw) error {
		w := newWorld(draw, complete)
		err := w.run(scheduleSteps)
		for kind, n := range w.reached {
			reached[kind] += n
		}
		return err
	})
	t.Logf("answers %v", reached)
	for _, kind := range []string{
		"answered", "replayed", "key_reused no", "outcome_unknown unknown",
		"store_unavailable no", "target_failed no", "deadline_exceeded no",
	} {
		if reached[kind] == 0 {
			t.Errorf("no schedule reached the answer %q", kind)
		}
	}
}

// Guards against properties that hold for any implementation: each mechanism that is left out must be caught.
func TestVariantsAreCaught(t *testing.T) {
	without := func(v variant) func(schedule.Draw) error {
		return func(draw schedule.Draw) error { return newWorld(draw, v).run(scheduleSteps) }
	}
	schedule.Caught(t, searchLimit, map[string]func(schedule.Draw) error{
		"writes without conditions":                  without(blindWrites),
		"lost write counts as success":               without(trustLostWrite),
		"call sent again after a lost answer":        without(sendTwice),
		"started record of a killed process revived": without(reviveStarted),
		"lost answer reported as not sent":           without(lostMeansNotRun),
	})
}

// Guards against a call that is sent on a claim which another owner of the shard has overwritten.
func TestShardKeepsConfirmedChanges(t *testing.T) {
	schedule.Check(t, 4000, func(draw schedule.Draw) error { return newShardWorld(draw, false).run(60) })
}

// Guards against a shard test that holds without conditional writes.
func TestShardVariantsAreCaught(t *testing.T) {
	schedule.Caught(t, searchLimit, map[string]func(schedule.Draw) error{
		"writes without conditions": func(draw schedule.Draw) error { return newShardWorld(draw, true).run(60) },
	})
}
