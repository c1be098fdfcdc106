// Package versioner orders versions of objects across the eras of a store, which begin when it is restored from a copy.
package versioner
