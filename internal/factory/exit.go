package factory

import (
	"errors"
	"fmt"

	"github.com/google/subcommands"

	"bergamothollow.example/bergamothollow/internal/changer"
	"bergamothollow.example/bergamothollow/pkg/storer"
)

// The exit codes of all commands.
const (
	ExitSuccess     = subcommands.ExitSuccess
	ExitFailed      = subcommands.ExitFailure
	ExitUsage       = subcommands.ExitUsageError
	ExitConflict    = subcommands.ExitStatus(3)
	ExitUnavailable = subcommands.ExitStatus(4)
)

// UsageError means that the command line is wrong.
type UsageError struct {
	Problem string
}

// Error says what is wrong with the command line.
func (e *UsageError) Error() string {
	return e.Problem
}

// ValueError means that the value of a stored object cannot be decoded by this version.
type ValueError struct {
	Kind  storer.Kind
	Name  string
	Cause error
}

// Error names the object and says what to do.
func (e *ValueError) Error() string {
	return fmt.Sprintf("%s %q in the store cannot be decoded (%v): it was written by another version; use the commands of that version", e.Kind, e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *ValueError) Unwrap() error {
	return e.Cause
}

// ExitCode returns the exit code of an error.
func ExitCode(err error) subcommands.ExitStatus {
	var usage *UsageError
	var conflict *changer.ConflictError
	var storeConflict *storer.ConflictError
	switch {
	case err == nil:
		return ExitSuccess
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &conflict), errors.As(err, &storeConflict):
		return ExitConflict
	case isUnavailable(err):
		return ExitUnavailable
	}
	return ExitFailed
}

func isUnavailable(err error) bool {
	var unavailable *storer.UnavailableError
	var throttled *storer.ThrottledError
	var unknown *changer.UnknownOutcomeError
	return errors.As(err, &unavailable) || errors.As(err, &throttled) || errors.As(err, &unknown)
}

func isNotFound(err error) bool {
	var missing *storer.NotFoundError
	return errors.As(err, &missing)
}

// advice returns what to do about the errors whose text does not say so, and otherwise an empty string.
func advice(err error) string {
	var unknown *changer.UnknownOutcomeError
	var throttled *storer.ThrottledError
	var unavailable *storer.UnavailableError
	switch {
	case errors.As(err, &unknown):
		return ""
	case errors.As(err, &throttled):
		return ": the failed call changed nothing, try again in a second"
	case errors.As(err, &unavailable):
		return ": the failed call changed nothing, try again when the platform answers"
	}
	return ""
}
