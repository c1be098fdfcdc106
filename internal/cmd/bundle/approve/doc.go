// Package approver implements `bergamothollow bundle approve`, which signs a bundle.
package approver
