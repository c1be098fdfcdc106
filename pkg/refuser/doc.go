// Package refuser defines the reasons of refusals and retries, and the error type of a refused request.
package refuser
