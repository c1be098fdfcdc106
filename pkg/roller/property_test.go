package roller

import (
	"testing"

	"bergamothollow.example/bergamothollow/internal/schedule"
)

const faults = 25

// Guards against an older bundle that replaces a newer one after replays, partitions, restarts or reordered messages, and
// against a bundle that does not reach every connected instance in time.
func TestBundleNeverRevertsAndArrives(t *testing.T) {
	schedule.Check(t, 400, func(draw schedule.Draw) error { return newCell(draw, complete).run(faults) })
}

// Guards against properties that hold for any implementation: the check must fail for each disabled mechanism.
func TestVariantsAreCaught(t *testing.T) {
	without := func(v variant) func(schedule.Draw) error {
		return func(draw schedule.Draw) error { return newCell(draw, v).run(faults) }
	}
	schedule.RequireFailures(t, 3000, map[string]func(schedule.Draw) error{
		"lower sequences accepted":    without(acceptLower),
		"sequences of peers not used": without(ignorePeers),
		"watches not taken over":      without(fixedWatchers),
		"one watch in a cell":         without(oneWatcher),
	})
}
