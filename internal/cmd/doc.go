// Package registrar lists the commands.
package registrar
