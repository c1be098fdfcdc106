// Package loader is a load generator: it sends requests as callers do, checks every answer and reports counts and
// latencies.
package loader
