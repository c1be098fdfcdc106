// Package controller runs the one goroutine that owns an instance's control state.
//
// Filters and peers send it typed messages. It feeds them to the decision packages and carries out the actions that these
// return: those that do I/O run in the pool, and their results come back as messages.
package controller
