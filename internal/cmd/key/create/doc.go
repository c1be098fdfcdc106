// Package creator implements `bergamothollow key create`, which creates an Ed25519 key pair.
package creator
