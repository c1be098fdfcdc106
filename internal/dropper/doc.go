// Package dropper writes log lines asynchronously; it drops and counts lines instead of blocking a request.
package dropper
