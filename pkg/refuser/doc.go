// Package refuser defines why requests are refused or retried, and the error that carries it.
package refuser
