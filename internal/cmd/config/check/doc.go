// Package checker is the command that checks a settings file.
package checker
