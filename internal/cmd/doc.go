// Package registrar lists the commands for operators.
package registrar
