// Package forecaster estimates how much work of each rank a service's callers bring in the near future, from what they brought in the last
// seconds: so the requests that aren't there yet can be counted as demand.
package forecaster
