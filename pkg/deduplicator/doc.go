// Package deduplicator runs a call that may not be repeated at most once for its idempotency key.
package deduplicator
