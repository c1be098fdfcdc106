// Package tracer implements `bergamothollow trace`, which follows one request through a log.
package tracer
