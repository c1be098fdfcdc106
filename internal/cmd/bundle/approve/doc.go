// Package approver is the command that signs a bundle.
package approver
