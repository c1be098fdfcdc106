// Package runner implements `bergamothollow gateway`, an instance on the users' platform.
package runner
