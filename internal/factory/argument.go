package factory

import (
	"fmt"
	"strings"
)

// OneArgument returns the only argument of a command; subject is what the argument names, like "a target".
func OneArgument(subject string, arguments []string) (string, error) {
	if len(arguments) != 1 || arguments[0] == "" {
		return "", &UsageError{
			Problem: fmt.Sprintf("name %s, one at a time (got %d arguments)", subject, len(arguments)),
		}
	}
	return arguments[0], nil
}

// NoArguments fails with a UsageError if a command that has only flags is given arguments.
func NoArguments(arguments []string) error {
	if len(arguments) == 0 {
		return nil
	}
	return &UsageError{
		Problem: fmt.Sprintf("unexpected argument %q: use flags", strings.Join(arguments, " ")),
	}
}

// Required fails with a UsageError if the value of the flag is empty.
func Required(flag, value string) error {
	if value != "" {
		return nil
	}
	return &UsageError{
		Problem: fmt.Sprintf("--%s is required: set it", flag),
	}
}
