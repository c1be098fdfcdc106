package admitter

import "time"

// Resubmit decides about a further attempt of a request that was admitted before: the customer's limits were applied
// then, and a stream under way must not end because its customer sent other requests since.
func (a *Admitter) Resubmit(now time.Time, r Request) Action {
	action := a.decide(now, r)
	if _, refused := action.(Refuse); !refused {
		a.customers[r.Customer].active++
	}
	return action
}
