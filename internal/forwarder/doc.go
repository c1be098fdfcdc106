// Package forwarder sends one request to one target over a connection of its own and reads the answer.
package forwarder
