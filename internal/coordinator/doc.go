// Package coordinator owns the control state of an instance in one goroutine: rules, targets, members, and the placement of
// work.
package coordinator
