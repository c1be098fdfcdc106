// Package limiter implements a token bucket without a clock of its own, so that it is deterministic.
package limiter
