// Package receiver serves callers over HTTP: it matches requests to routes, obtains a target for each, and forwards them.
package receiver
