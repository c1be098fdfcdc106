// Package deduplicator executes a non-idempotent call at most once per idempotency key.
package deduplicator
