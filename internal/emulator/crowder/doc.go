// Package crowder emulates a crowd of callers that don't stay inside the limits, each of one kind.
package crowder
