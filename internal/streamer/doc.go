// Package streamer is the client of model engines: it opens, reads and cancels streams, sends orders, and reads load reports,
// request lists and cache events.
package streamer
