// Package stepper is the state machine of an emulated model engine: continuous batching in steps, bounded memory,
// cold start, priorities, fencing and a prefix cache. It has no goroutines and no I/O; the caller passes the time.
package stepper
