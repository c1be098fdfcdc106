// Package convener decides whom an instance follows: one instance of a deployment places work for all of them. The store
// arbitrates by one object that names the leader; while the store is away, instances follow whomever they can reach. Two
// leaders at a time cost efficiency, not correctness, so that no lease is needed.
package convener
