// Package platform emulates the platform's object API: versions, conditional updates, watches,
// a lagging list of instances, rate limits and faults.
package platform
