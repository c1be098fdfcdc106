// Package publisher is the command that puts a bundle in force.
package publisher
