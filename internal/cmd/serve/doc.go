// Package starter implements `bergamothollow serve`, which runs an instance.
package starter
