// Package tallier counts the requests of each customer in windows of time and decides when the count of a window is final.
package tallier
