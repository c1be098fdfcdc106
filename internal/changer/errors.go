package changer

import (
	"fmt"
	"strings"

	"bergamothollow.example/bergamothollow/pkg/storer"
)

// ConflictError means that somebody else changed the object first.
type ConflictError struct {
	Kind    storer.Kind
	Name    string
	Current storer.Object
	// By is the operator who made the other change, empty if unknown.
	By string
	// Changes describes what the other operator changed.
	Changes []string
	// AnswerLost means that this write may have been applied before the other change.
	AnswerLost bool
	// Next tells the operator what to do; a default is used if it is empty.
	Next string
}

// Error names the other change and what to do next.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "conflict on %s %q: it is now at version %d", e.Kind, e.Name, e.Current.Number)
	if e.By != "" {
		fmt.Fprintf(&b, ", changed by %s", e.By)
	}
	if len(e.Changes) > 0 {
		fmt.Fprintf(&b, " (%s)", strings.Join(e.Changes, "; "))
	}
	if e.AnswerLost {
		b.WriteString("; the answer to this write was lost, so it may have been applied before that change")
	} else {
		b.WriteString("; this command changed nothing there")
	}
	next := e.Next
	if next == "" {
		next = "read the current state with `bergamothollow status` and run the command again"
	}
	return b.String() + ": " + next
}

// UnknownOutcomeError means that the response to a write was lost and no later attempt could determine whether it took effect.
type UnknownOutcomeError struct {
	Kind  storer.Kind
	Name  string
	Cause error
}

// Error says how to find out whether the change took effect.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the answer to the write of %s %q was lost and the store cannot be read (%v): the change may have taken effect; "+
		"run the command again when the platform answers, it is safe to repeat", e.Kind, e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error {
	return e.Cause
}
