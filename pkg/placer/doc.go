// Package placer chooses the target of a request.
//
// A request is evaluated on a bounded number of candidates: targets that are reported to cache a prefix of its prompt, and a
// random sample of the others. The score is the predicted time to the first token. Long prefills are limited to a share of a
// model's targets, and short requests avoid these.
package placer
