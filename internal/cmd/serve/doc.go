// Package starter is the command serve, which runs an instance.
package starter
