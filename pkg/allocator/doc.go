// Package allocator decides, for the owner of one target, which quotas and reservations of its memory to grant.
package allocator
