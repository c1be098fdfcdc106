// Package holder limits the memory that is buffered for callers that read slowly.
package holder
