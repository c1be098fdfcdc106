// Package dialer bounds what HTTP clients read of an answer, and lets them fail on answers that break off.
package dialer
