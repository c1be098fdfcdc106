// Package keyfile reads and writes the private keys of approvers.
package keyfile
