// Package forwarder sends a request to a target over a new connection and reads the answer.
package forwarder
