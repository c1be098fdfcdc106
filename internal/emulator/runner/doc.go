// Package runner runs the HTTP server of an emulator until a signal or the end of its context.
package runner
