// Package rationer divides a budget of bytes among the bodies of requests, and decides which body is given up when it is spent.
package rationer
