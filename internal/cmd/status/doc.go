// Package reporter implements `bergamothollow status`, which prints the state of the fleet.
package reporter
