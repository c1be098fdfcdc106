// Package scheduler places prompts on model engines: it decides when and on which engines each one is prefilled, based on
// the published speed of the engines and the work already placed on them. "Reading" a prompt is prefill, and "writing" an
// answer is decode.
package scheduler
