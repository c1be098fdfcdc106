// Package placer chooses the target of a request.
//
// A request is scored on at most a dozen candidates: the targets that are believed to hold a prefix
// of its prompt, and a sample of the others. The score is the predicted time to the first token.
// Long prefills are kept to a part of a model's targets, which short requests avoid.
package placer
