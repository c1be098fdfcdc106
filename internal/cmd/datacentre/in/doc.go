// Package restorer is the command that takes a data centre back into service.
package restorer
