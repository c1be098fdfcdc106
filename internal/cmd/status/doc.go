// Package reporter is the command that prints the state of the fleet.
package reporter
