// Package reconciler sends orders to targets until they have reached their wanted state.
package reconciler
