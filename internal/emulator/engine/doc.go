// Package engine emulates a model engine with an HTTP API; package stepper emulates its batching and memory.
package engine
