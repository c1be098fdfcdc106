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

// Confirmation reports whether a member has confirmed the awaited bundle sequence, or a later one, in its record.
type Confirmation struct {
	Instance       namer.Instance   `json:"instance"`
	DataCentre     namer.DataCentre `json:"data_centre"`
	State          tracker.State    `json:"state"`
	BundleSequence int64            `json:"bundle_sequence"`
	Confirmed      bool             `json:"confirmed"`
	// Renewed is true if the record changed during the wait; a member that has stopped does not renew its record.
	Renewed bool `json:"renewed"`
}

// AwaitConfirmations polls the member records until all members have confirmed the sequence or the wait is over.
func AwaitConfirmations(ctx context.Context, store storer.Store, clock timer.Clock, sequence int64, wait time.Duration) ([]Confirmation, error) {
	end := clock.Now().Add(wait)
	firstVersions := map[namer.Instance]int64{}
	for {
		members, err := factory.List[tracker.Member](ctx, store, storer.KindMember)
		confirmations, allConfirmed := confirm(members, firstVersions, sequence)
		if err == nil && allConfirmed || !clock.Now().Before(end) {
			return confirmations, err
		}
		select {
		case <-clock.After(pollInterval):
		case <-ctx.Done():
			return confirmations, ctx.Err()
		}
	}
}

// confirm builds the confirmations of all members that have not left, and reports whether all have confirmed. It records the
// first version seen of each member's record in firstVersions.
func confirm(members []factory.Entry[tracker.Member], firstVersions map[namer.Instance]int64, sequence int64) ([]Confirmation, bool) {
	var confirmations []Confirmation
	allConfirmed := true
	for _, entry := range members {
		member := entry.Value
		if member.State == tracker.StateLeft {
			continue
		}
		instance := member.Holder.Instance
		if _, seen := firstVersions[instance]; !seen {
			firstVersions[instance] = entry.Version
		}
		c := Confirmation{
			Instance:       instance,
			DataCentre:     member.DataCentre,
			State:          member.State,
			BundleSequence: member.BundleSequence,
			Confirmed:      member.BundleSequence >= sequence,
			Renewed:        entry.Version != firstVersions[instance],
		}
		allConfirmed = allConfirmed && c.Confirmed
		confirmations = append(confirmations, c)
	}
	return confirmations, allConfirmed
}
