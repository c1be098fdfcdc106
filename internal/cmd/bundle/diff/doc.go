// Package comparer is the command that compares bundles.
package comparer
