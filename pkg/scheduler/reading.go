package scheduler

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/matcher"
)

// ReadingTime returns the time that an idle engine takes to prefill a prompt of the given number of tokens alone.
func ReadingTime(speed *matcher.Engine, prompt int) time.Duration {
	return prefillTime(speed, prompt, 1)
}
