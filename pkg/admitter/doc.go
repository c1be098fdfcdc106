// Package admitter implements admission control: it admits, queues or refuses requests, and orders the queues.
//
// Submit handles a new request. Next returns queued requests to admit or refuse one at a time, so that each placement is
// accounted for before the next is chosen.
package admitter
