// Package creator implements `bergamothollow bundle create`, which creates a bundle file.
package creator
