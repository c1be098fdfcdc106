// Package creator is the command that makes an Ed25519 key pair.
package creator
