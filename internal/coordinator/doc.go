// Package coordinator keeps the control state of an instance (rules, targets, members and the placement of work) in a single
// goroutine.
package coordinator
