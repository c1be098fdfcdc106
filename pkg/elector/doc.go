// Package elector decides who may allocate a target's memory, and who takes over when an owner is lost.
package elector
