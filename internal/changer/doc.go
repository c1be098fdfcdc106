// Package changer writes operators' changes to the platform's store and determines whether they took effect.
package changer
