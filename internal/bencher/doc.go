// Package bencher measures the decision packages of the request path against baselines.
//
// It drives the packages directly under a manual clock, with small fake engines and a fake owner of
// each target. Everything but the time of decisions follows from the seed.
package bencher
