// Package engine emulates a model engine behind HTTP; its batching and memory are in the package stepper.
package engine
