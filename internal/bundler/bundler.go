package bundler

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"bergamothollow.example/bergamothollow/internal/factory"
	"bergamothollow.example/bergamothollow/pkg/roller"
	"bergamothollow.example/bergamothollow/pkg/storer"
)

// AnyVersion is the IfVersion of a Roll that accepts whatever version Run reads.
const AnyVersion int64 = -1

// FileError means that a bundle file cannot be used.
type FileError struct {
	File  string
	Cause error
	Next  string
}

// Error describes the failure and says what to do.
func (e *FileError) Error() string {
	return fmt.Sprintf("%s: %v: %s", e.File, e.Cause, e.Next)
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error {
	return e.Cause
}

// MissingError means that the store has no such bundle.
type MissingError struct {
	// Sequence is the missing bundle's sequence, 0 if no bundle is in force.
	Sequence int64
}

// Error says how to get a bundle.
func (e *MissingError) Error() string {
	if e.Sequence == 0 {
		return "no bundle is in force yet: write one as in examples/bundle.yaml, then create, approve and roll it"
	}
	return fmt.Sprintf("the store has no bundle %d: see `bergamothollow bundle show` for the one in force", e.Sequence)
}

// ReadFile reads a bundle file (YAML) or a signed bundle (file name ending in .json).
func ReadFile(file string) (roller.Bundle, error) {
	if filepath.Ext(file) == ".json" {
		signed, err := ReadSigned(file)
		if err != nil {
			return roller.Bundle{}, err
		}
		return DecodeContent(signed)
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return roller.Bundle{}, &FileError{
			File:  file,
			Cause: err,
			Next:  "write a bundle as in examples/bundle.yaml",
		}
	}
	return roller.Parse(file, content)
}

// ReadSigned reads a signed bundle file, as written by `bundle approve`.
func ReadSigned(file string) (roller.Signed, error) {
	content, err := os.ReadFile(file)
	var signed roller.Signed
	if err == nil {
		err = json.Unmarshal(content, &signed)
	}
	if err != nil {
		return roller.Signed{}, &FileError{
			File:  file,
			Cause: err,
			Next:  "give the file that `bergamothollow bundle approve` wrote",
		}
	}
	return signed, nil
}

// DecodeContent decodes a signed bundle without verifying its signature.
func DecodeContent(signed roller.Signed) (roller.Bundle, error) {
	var bundle roller.Bundle
	err := json.Unmarshal(signed.Content, &bundle)
	return bundle, err
}

// ObjectName returns the name of a bundle's object in the store.
func ObjectName(sequence int64) string {
	return strconv.FormatInt(sequence, 10)
}

// ReadPointer reads the pointer to the bundle in force; a version of 0 means that there is none.
func ReadPointer(ctx context.Context, store storer.Store) (factory.Entry[roller.Pointer], error) {
	return factory.Read[roller.Pointer](ctx, store, storer.KindBundlePointer, storer.CurrentName)
}

// ReadStored reads the bundle with a sequence from the store; sequence 0 stands for the bundle in force.
func ReadStored(ctx context.Context, store storer.Store, sequence int64) (roller.Signed, error) {
	if sequence == 0 {
		pointer, err := ReadPointer(ctx, store)
		if err != nil {
			return roller.Signed{}, err
		}
		sequence = pointer.Value.Sequence
	}
	if sequence == 0 {
		return roller.Signed{}, &MissingError{}
	}
	entry, err := factory.Read[roller.Signed](ctx, store, storer.KindBundle, ObjectName(sequence))
	if err == nil && entry.Version == 0 {
		err = &MissingError{
			Sequence: sequence,
		}
	}
	return entry.Value, err
}

// ReadStoredContent reads a bundle as ReadStored does and decodes its content.
func ReadStoredContent(ctx context.Context, store storer.Store, sequence int64) (roller.Bundle, error) {
	signed, err := ReadStored(ctx, store, sequence)
	if err != nil {
		return roller.Bundle{}, err
	}
	return DecodeContent(signed)
}

// NextSequence returns the lowest sequence above the one in force that no stored bundle has.
func NextSequence(ctx context.Context, store storer.Store) (int64, error) {
	pointer, err := ReadPointer(ctx, store)
	if err != nil {
		return 0, err
	}
	// A stored bundle keeps its sequence even if another operator's rollout won and it never came into force.
	for sequence := pointer.Value.Sequence + 1; ; sequence++ {
		entry, err := factory.Read[roller.Signed](ctx, store, storer.KindBundle, ObjectName(sequence))
		if err != nil {
			return 0, err
		}
		if entry.Version == 0 {
			return sequence, nil
		}
	}
}
