// Package timer provides the clock interface, the system clock and a manual clock for tests.
package timer
