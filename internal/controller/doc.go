// Package controller runs the single goroutine that owns an instance's control state.
//
// Request handlers and peers send it typed messages. It passes them to the decision packages and executes the actions that
// these return: I/O runs in a worker pool, and its results come back as messages.
package controller
