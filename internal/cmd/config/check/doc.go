// Package checker implements `bergamothollow config check`, which checks a settings file.
package checker
