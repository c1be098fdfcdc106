// Package balancer chooses targets of plain services by least load, preferring the instance's own data centre and avoiding
// targets that fail.
package balancer
