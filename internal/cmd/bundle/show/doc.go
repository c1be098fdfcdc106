// Package presenter is the command that prints a bundle.
package presenter
