// Package retrier decides whether a failed attempt is repeated or resumed, when a stream counts as
// unresponsive, and which events of a stream belong to the current attempt.
package retrier
