// Package changer writes operators' changes to the platform's store and finds out whether they took effect.
package changer
