package tracker

import (
	"testing"

	"bergamothollow.example/bergamothollow/internal/schedule"
)

const faults = 25

// Guards against departures that revert or do not arrive in time, against a live process that is confirmed gone, and
// against a dead one that is never confirmed gone, under kills, pauses, partitions, outages and reordered messages.
func TestCellAgrees(t *testing.T) {
	schedule.Check(t, 200, func(draw schedule.Draw) error { return newCell(draw, complete).run(faults) })
}

// Guards against properties that hold for any implementation: the check must fail for each disabled mechanism.
func TestVariantsAreCaught(t *testing.T) {
	without := func(v variant) func(schedule.Draw) error {
		return func(draw schedule.Draw) error { return newCell(draw, v).run(faults) }
	}
	schedule.RequireFailures(t, 3000, map[string]func(schedule.Draw) error{
		"older departures applied": without(acceptOlder),
		"versions of peers unused": without(ignorePeers),
		"lagging list trusted":     without(trustList),
		"lost members kept":        without(keepLost),
	})
}
