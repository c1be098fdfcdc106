// Package adder is the command that adds target records.
package adder
