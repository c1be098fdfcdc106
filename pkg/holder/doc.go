// Package holder bounds the bytes buffered for callers that read slowly.
package holder
