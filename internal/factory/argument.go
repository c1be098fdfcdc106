package factory

import (
	"fmt"
	"strings"
)

// OneArgument returns the only argument of a command; what says what it names.
func OneArgument(what string, arguments []string) (string, error) {
	if len(arguments) != 1 || arguments[0] == "" {
		return "", &UsageError{
			Problem: fmt.Sprintf("name %s, one at a time (got %d arguments)", what, len(arguments)),
		}
	}
	return arguments[0], nil
}

// NoArguments rejects arguments of a command that has only flags.
func NoArguments(arguments []string) error {
	if len(arguments) == 0 {
		return nil
	}
	return &UsageError{
		Problem: fmt.Sprintf("unexpected argument %q: use flags", strings.Join(arguments, " ")),
	}
}

// Required rejects an empty flag.
func Required(flag, value string) error {
	if value != "" {
		return nil
	}
	return &UsageError{
		Problem: fmt.Sprintf("--%s is required: set it", flag),
	}
}
