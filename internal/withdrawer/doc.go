// Package withdrawer takes data centres and targets out of service and back in.
package withdrawer
