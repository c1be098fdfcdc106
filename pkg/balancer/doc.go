// Package balancer chooses targets of plain services: the least busy one, near first, and away from those that fail.
package balancer
