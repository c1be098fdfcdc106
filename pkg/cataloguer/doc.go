// Package cataloguer keeps the targets in service: which are leaving, evacuated, cold, or missing after an outage of the
// store.
package cataloguer
