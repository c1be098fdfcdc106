package platform

import (
	"slices"
	"strings"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/storer"
)

// stateGone is the state that removes an instance from the list.
const stateGone storer.InstanceState = "gone"

// roster is the list of instances; a change appears in it after the lag.
type roster struct {
	lag     time.Duration
	pending []rosterChange
	states  map[namer.Instance]storer.InstanceState
}

type rosterChange struct {
	at       time.Time
	instance namer.Instance
	state    storer.InstanceState
}

func (r *roster) set(now time.Time, instance namer.Instance, state storer.InstanceState) {
	r.pending = append(r.pending, rosterChange{
		at:       now,
		instance: instance,
		state:    state,
	})
}

func (r *roster) list(now time.Time) []storer.ListedInstance {
	for len(r.pending) > 0 && now.Sub(r.pending[0].at) >= r.lag {
		change := r.pending[0]
		r.pending = r.pending[1:]
		if change.state == stateGone {
			delete(r.states, change.instance)
			continue
		}
		r.states[change.instance] = change.state
	}
	listed := []storer.ListedInstance{}
	for instance, state := range r.states {
		listed = append(listed, storer.ListedInstance{
			Instance: instance,
			State:    state,
		})
	}
	slices.SortFunc(listed, func(a, b storer.ListedInstance) int {
		return strings.Compare(string(a.Instance), string(b.Instance))
	})
	return listed
}
