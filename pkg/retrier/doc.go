// Package retrier implements the retry budget, the detection of unresponsive streams, and the resumption of streams after
// failed attempts. It drops events that don't belong to the current attempt.
package retrier
