// Package matcher finds the route and the customer of a request in the rules in force.
package matcher
