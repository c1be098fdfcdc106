// Package bencher measures the decision packages of the request path against baselines.
//
// It drives the packages directly in a discrete-event simulation, with a simple fake engine and a fake
// owner for each target. The seed determines all figures except the wall-clock times of decisions and
// refusals.
package bencher
