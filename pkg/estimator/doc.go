// Package estimator predicts the wait, prefill, total time and memory of a request.
//
// Rates are learned per target and per model from observed streams. A target with too few observations uses the model's
// rate, and if the model has too few as well, the rate in the target's record.
package estimator
