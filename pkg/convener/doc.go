// Package convener implements leader election: one instance of a deployment, the leader, places the work of all instances.
// The store decides by one object that names the leader; while the store is unavailable, instances follow any leader that
// they can reach. Two leaders at a time reduce efficiency but not correctness, so no lease is needed.
package convener
