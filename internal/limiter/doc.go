// Package limiter bounds what callers may take of a process before their requests are admitted: connections, memory and time.
package limiter
