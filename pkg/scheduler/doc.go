// Package scheduler decides when and on which model engines a prompt is read, from the published speed of the engines and
// the work already placed on them.
package scheduler
