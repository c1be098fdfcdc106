// Package comparer implements `bergamothollow bundle diff`, which compares two bundles.
package comparer
