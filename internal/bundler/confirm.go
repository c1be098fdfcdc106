package bundler

import (
	"context"
	"time"

	"bergamothollow.example/bergamothollow/internal/factory"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/timer"
	"bergamothollow.example/bergamothollow/pkg/tracker"
)

// pollInterval is the time between two reads of the member records.
const pollInterval = 500 * time.Millisecond

// Confirmation tells whether a member's record names the sequence or a later one.
type Confirmation struct {
	Instance       namer.Instance   `json:"instance"`
	DataCentre     namer.DataCentre `json:"data_centre"`
	State          tracker.State    `json:"state"`
	BundleSequence int64            `json:"bundle_sequence"`
	Confirmed      bool             `json:"confirmed"`
	// Renewed tells whether the record changed during the wait; a member that stopped does not renew it.
	Renewed bool `json:"renewed"`
}

// Wait reads the member records until all have confirmed the sequence or the wait is over.
func Wait(ctx context.Context, store storer.Store, clock timer.Clock, sequence int64, wait time.Duration) ([]Confirmation, error) {
	end := clock.Now().Add(wait)
	first := map[namer.Instance]int64{}
	for {
		members, err := factory.List[tracker.Member](ctx, store, storer.KindMember)
		confirmations, all := confirm(members, first, sequence)
		if err == nil && all || !clock.Now().Before(end) {
			return confirmations, err
		}
		select {
		case <-clock.After(pollInterval):
		case <-ctx.Done():
			return confirmations, ctx.Err()
		}
	}
}

func confirm(members []factory.Entry[tracker.Member], first map[namer.Instance]int64, sequence int64) ([]Confirmation, bool) {
	var confirmations []Confirmation
	all := true
	for _, entry := range members {
		member := entry.Value
		if member.State == tracker.StateLeft {
			continue
		}
		instance := member.Holder.Instance
		if _, seen := first[instance]; !seen {
			first[instance] = entry.Version
		}
		c := Confirmation{
			Instance:       instance,
			DataCentre:     member.DataCentre,
			State:          member.State,
			BundleSequence: member.BundleSequence,
			Confirmed:      member.BundleSequence >= sequence,
			Renewed:        entry.Version != first[instance],
		}
		all = all && c.Confirmed
		confirmations = append(confirmations, c)
	}
	return confirmations, all
}
