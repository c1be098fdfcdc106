// Package remover is the command that takes a data centre out of service.
package remover
