// Package answerer computes the text that emulated models generate, so that any part of an answer can be checked.
package answerer
