// Package reconciler orders targets towards their wanted state.
package reconciler
