package keyfile

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"os"
)

const (
	blockType = "PRIVATE KEY"
	// filePermissions lets only the owner read and write a private key.
	filePermissions = 0o600
)

// FileError means that a key file cannot be created or read.
type FileError struct {
	File  string
	Cause error
	// Next says what to do.
	Next string
}

// Error names the file, the cause and what to do.
func (e *FileError) Error() string {
	return fmt.Sprintf("key file %s: %v: %s", e.File, e.Cause, e.Next)
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error {
	return e.Cause
}

var errNoKey = errors.New("not an Ed25519 private key in PEM format")

// Create writes a new private key to a file, which must not exist, and returns the public key. It fails with a FileError.
func Create(file string) (ed25519.PublicKey, error) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, err
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, err
	}
	content := pem.EncodeToMemory(&pem.Block{
		Type:  blockType,
		Bytes: encoded,
	})
	if err := write(file, content); err != nil {
		return nil, &FileError{
			File:  file,
			Cause: err,
			Next:  "name a new file in a directory in which you can create files",
		}
	}
	return public, nil
}

func write(file string, content []byte) error {
	// O_EXCL prevents an existing key from being overwritten.
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, filePermissions)
	if err != nil {
		return err
	}
	_, err = f.Write(content)
	return errors.Join(err, f.Close())
}

// Read returns the private key in a file. It fails with a FileError.
func Read(file string) (ed25519.PrivateKey, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, &FileError{
			File:  file,
			Cause: err,
			Next:  "create a key with `bergamothollow key create`",
		}
	}
	block, _ := pem.Decode(content)
	if block != nil && block.Type == blockType {
		parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
		if key, ok := parsed.(ed25519.PrivateKey); err == nil && ok {
			return key, nil
		}
	}
	return nil, &FileError{
		File:  file,
		Cause: errNoKey,
		Next:  "name a file written by `bergamothollow key create`",
	}
}
