// Package breaker emulates a server in trouble, whose answers are broken.
package breaker
