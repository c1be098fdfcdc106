// Package teller implements `bergamothollow story`, which follows one request through a log.
package teller
