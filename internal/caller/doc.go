// Package caller calls plain services, at most once where a call may not be repeated.
package caller
