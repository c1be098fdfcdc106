package storer

import (
	"errors"
	"fmt"
	"testing"
)

// Guards against a write that is reported as not written although it may have taken effect.
func TestCertainlyNotWritten(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want bool
	}{
		{"rate limit", &ThrottledError{}, true},
		{"budget", &BudgetError{}, true},
		{"not sent", &UnavailableError{}, true},
		{"may have arrived", &UnavailableError{Sent: true}, false},
		{"conflict", &ConflictError{}, false},
		{"any other", errors.New("x"), false},
		{"wrapped", fmt.Errorf("write: %w", &ThrottledError{}), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := CertainlyNotWritten(tt.err); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
