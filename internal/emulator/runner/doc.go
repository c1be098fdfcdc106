// Package runner runs the HTTP server of an emulator until it is told to stop.
package runner
