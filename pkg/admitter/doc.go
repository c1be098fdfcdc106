// Package admitter decides whether a request is admitted, queued or refused, and in which order
// queued requests are admitted.
//
// Submit decides about a new request. Next returns queued requests that can be admitted, or must be
// refused, one at a time, so that each placement is accounted for before the next is chosen.
package admitter
