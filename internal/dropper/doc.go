// Package dropper writes log lines in the background, and drops and counts lines rather than delay a request.
package dropper
