// Package bundler reads bundles from files and from the store, and rolls them out for operators.
package bundler
