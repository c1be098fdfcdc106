// Package dialer bounds what HTTP clients read of an answer.
package dialer
