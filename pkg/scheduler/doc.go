// Package scheduler places prompts on model engines: it decides when and on which engines each one is prefilled, based on
// the published speed of the engines and the work already placed on them. In the platform's rules and in
// log keys, "read" means prefill and "writing" means decode.
package scheduler
