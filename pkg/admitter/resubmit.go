package admitter

import "time"

// Resubmit admits, queues or refuses another attempt of a request that was admitted before. It doesn't check the customer's
// limits again, since later requests of the customer must not end a running stream.
func (a *Admitter) Resubmit(now time.Time, r Request) Action {
	action := a.decide(now, r)
	if _, refused := action.(Refuse); !refused {
		a.customers[r.Customer].active++
	}
	return action
}
