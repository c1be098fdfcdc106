// Package streamer is the client of model engines: it opens, reads and cancels streams, and reads load and request lists.
package streamer
