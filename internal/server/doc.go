// Package server is the HTTP server for callers: it parses requests, obtains placements, relays tokens and retries failed attempts.
package server
