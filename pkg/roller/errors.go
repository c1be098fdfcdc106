package roller

import (
	"fmt"
	"strings"
)

// ParseError is a fault in a bundle file, with its location.
type ParseError struct {
	File  string
	Line  int
	Field string
	Cause string
	// Err is the FieldError of the fault, nil for syntax and type errors.
	Err error
}

// Unwrap returns the FieldError, if any.
func (e *ParseError) Unwrap() error {
	return e.Err
}

// Error describes the fault and its location.
func (e *ParseError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Cause)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Cause)
}

// FieldError means that a field of a bundle has an invalid value.
type FieldError struct {
	Path  []string
	Value string
	Rule  string
}

// Name returns the path joined with dots.
func (e *FieldError) Name() string {
	return strings.Join(e.Path, ".")
}

// Fault describes the value and the rule that it violates, without the path.
func (e *FieldError) Fault() string {
	return fmt.Sprintf("%q is not allowed, it must be %s", e.Value, e.Rule)
}

// Error describes the field, its value and the rule that it violates.
func (e *FieldError) Error() string {
	return e.Name() + ": " + e.Fault()
}

// ApproverError means that a bundle has no approver, or that its approver is its author.
type ApproverError struct {
	Approver string
	Author   string
}

// Error names the author and the approver.
func (e *ApproverError) Error() string {
	return fmt.Sprintf("bundle by %q approved by %q: another person must approve it", e.Author, e.Approver)
}

// UnknownApproverError means that the settings contain no public key of the approver.
type UnknownApproverError struct {
	Approver string
}

// Error names the approver.
func (e *UnknownApproverError) Error() string {
	return fmt.Sprintf("no public key of approver %q: add it to approvers in the settings", e.Approver)
}

// KeyError means that a key has the wrong size.
type KeyError struct {
	Approver string
	Size     int
}

// Error describes the key and its size in bytes.
func (e *KeyError) Error() string {
	return fmt.Sprintf("key of %q has %d bytes: give an Ed25519 key", e.Approver, e.Size)
}

// SignatureError means that the signature does not match the content.
type SignatureError struct {
	Sequence int64
	Approver string
}

// Error names the bundle and the approver.
func (e *SignatureError) Error() string {
	return fmt.Sprintf("bundle %d is not signed by the key of %q: approve it again", e.Sequence, e.Approver)
}

// ContentError means that signed content cannot be decoded as a bundle, for example because of an unknown field.
type ContentError struct {
	Cause error
}

// Error describes the fault.
func (e *ContentError) Error() string {
	return fmt.Sprintf("signed content cannot be decoded by this version: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *ContentError) Unwrap() error {
	return e.Cause
}

// EnvelopeError means that a field of Signed does not match the signed content.
type EnvelopeError struct {
	Field string
	Want  string
	Got   string
}

// Error describes the difference.
func (e *EnvelopeError) Error() string {
	return fmt.Sprintf("%s of the signed bundle is %q, its content says %q: fetch it again", e.Field, e.Got, e.Want)
}

// PointerError means that a bundle has the pointer's sequence but another digest.
type PointerError struct {
	Sequence int64
	Want     string
	Got      string
}

// Error describes the difference.
func (e *PointerError) Error() string {
	return fmt.Sprintf("bundle %d has digest %s, the pointer names %s: roll a new sequence", e.Sequence, e.Got, e.Want)
}
