// Package limiter provides a deterministic token bucket.
package limiter
