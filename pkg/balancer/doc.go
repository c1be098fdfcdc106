// Package balancer chooses targets of plain services by least load, preferring the own data centre and avoiding targets that
// fail.
package balancer
