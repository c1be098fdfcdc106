// Package follower reads the server-sent events of an HTTP response.
package follower
