// Package messenger sends and serves messages between instances as JSON-RPC 2.0 over TCP.
package messenger
