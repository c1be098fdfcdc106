// Package estimator predicts the wait, prefill, total time and memory of a request.
//
// Rates are learned per target and per model from observed streams. Until a target has been
// observed often enough the model's rate is used, and before that the target's record.
package estimator
