// Package warden decides which process holds the duties that only one may do at a time, by a record in a store with conditional writes.
package warden
