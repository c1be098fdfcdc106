// Package creator is the command that makes a new bundle file.
package creator
