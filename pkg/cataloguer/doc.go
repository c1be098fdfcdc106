// Package cataloguer tracks the targets in service and their state: leaving, evacuated, cold, or missing after an outage of
// the store.
package cataloguer
