// Package receiver answers callers: it matches requests to routes, has them placed, and forwards them.
package receiver
