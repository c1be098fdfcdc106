// Package lister is the command that prints refusal records.
package lister
