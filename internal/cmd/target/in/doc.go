// Package restorer is the command that takes a target back into service.
package restorer
