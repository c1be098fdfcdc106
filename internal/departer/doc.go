// Package departer takes data centres and targets out of service and back in.
package departer
