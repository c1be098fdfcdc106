// Package matcher finds the route and the customer of a request in the current rules.
package matcher
