// Package answerer computes the text that emulated models generate for a prompt; it depends only on the prompt and the
// token's index, so that tests can check any part of an answer.
package answerer
