// Package follower reads the server-sent events of a response until it ends or the context does.
package follower
