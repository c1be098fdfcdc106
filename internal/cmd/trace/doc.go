// Package tracer implements `bergamothollow trace`, which prints the log lines of one request.
package tracer
