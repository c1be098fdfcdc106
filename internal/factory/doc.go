// Package factory passes streams, settings, clients and the clock to commands, and maps errors to exit codes.
package factory
