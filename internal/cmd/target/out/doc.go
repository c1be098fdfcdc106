// Package remover is the command that takes a target out of service.
package remover
