package deduplicator

import (
	"testing"

	"bergamothollow.example/bergamothollow/internal/schedule"
)

const (
	// scheduleSteps allows several kills and outages during the calls of one key.
	scheduleSteps = 80
	// searchLimit is the number of schedules within which each variant must fail.
	searchLimit = 20000
)

// Guards against a call that runs twice, and against a caller that is told "not run" of a call that ran or will run, when
// instances are killed or paused, the store is down, responses are lost, writes are delayed and messages are reordered.
func TestCallRunsAtMostOnce(t *testing.T) {
	reached := map[string]int{}
	schedule.Check(t, 4000, func(draw schedule.Draw) error {
		w := newWorld(draw, complete)
		err := w.run(scheduleSteps)
		for kind, n := range w.answerKinds {
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
			t.Errorf("no schedule produced the answer %q", kind)
		}
	}
}

// Guards against properties that hold for any implementation: the check must fail for each disabled mechanism.
func TestVariantsAreCaught(t *testing.T) {
	without := func(v variant) func(schedule.Draw) error {
		return func(draw schedule.Draw) error { return newWorld(draw, v).run(scheduleSteps) }
	}
	schedule.RequireFailures(t, searchLimit, map[string]func(schedule.Draw) error{
		"writes without conditions":                    without(unconditionalWrites),
		"lost write counts as success":                 without(lostWriteIsStored),
		"call sent again after a lost answer":          without(sendTwice),
		"started record of a killed process reclaimed": without(reclaimStarted),
		"lost answer reported as not sent":             without(lostResponseIsNotSent),
	})
}

// Guards against a call that is sent although another owner of the shard has overwritten its claim.
func TestShardKeepsConfirmedChanges(t *testing.T) {
	schedule.Check(t, 4000, func(draw schedule.Draw) error { return newShardWorld(draw, false).run(60) })
}

// Guards against a shard check that passes without conditional writes.
func TestShardVariantsAreCaught(t *testing.T) {
	schedule.RequireFailures(t, searchLimit, map[string]func(schedule.Draw) error{
		"writes without conditions": func(draw schedule.Draw) error { return newShardWorld(draw, true).run(60) },
	})
}
