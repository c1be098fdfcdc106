package roller

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// signaturePurpose is a prefix of the signed bytes, so that a signature made for another purpose is never valid for a bundle.
const signaturePurpose = "bergamothollow bundle 1\n"

// Canonical returns the bytes that are digested and signed: JSON with sorted keys and no white space.
func Canonical(b Bundle) ([]byte, error) {
	return json.Marshal(b)
}

// Digest returns the SHA-256 of canonical bytes in hexadecimal.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Sign validates the bundle and signs its canonical bytes in the approver's name.
func Sign(b Bundle, approver string, key ed25519.PrivateKey) (Signed, error) {
	if err := b.Validate(); err != nil {
		return Signed{}, err
	}
	if approver == "" || approver == b.Author {
		return Signed{}, &ApproverError{
			Approver: approver,
			Author:   b.Author,
		}
	}
	if len(key) != ed25519.PrivateKeySize {
		return Signed{}, &KeyError{
			Approver: approver,
			Size:     len(key),
		}
	}
	content, err := Canonical(b)
	if err != nil {
		return Signed{}, err
	}
	return Signed{
		Content:   content,
		Sequence:  b.Sequence,
		Digest:    Digest(content),
		Author:    b.Author,
		Approver:  approver,
		Signature: ed25519.Sign(key, signedBytes(content)),
	}, nil
}

// Verify checks the signature, the approver and that the fields of s match the signed content, and returns the bundle.
func Verify(s Signed, approvers map[string]ed25519.PublicKey) (Bundle, error) {
	if err := checkSignature(s, approvers); err != nil {
		return Bundle{}, err
	}
	b, err := decodeContent(s.Content)
	if err != nil {
		return Bundle{}, err
	}
	if err := checkEnvelope(s, b); err != nil {
		return Bundle{}, err
	}
	if s.Approver == b.Author || sameKey(approvers, s.Approver, b.Author) {
		return Bundle{}, &ApproverError{
			Approver: s.Approver,
			Author:   b.Author,
		}
	}
	return b, b.Validate()
}

func checkSignature(s Signed, approvers map[string]ed25519.PublicKey) error {
	key, known := approvers[s.Approver]
	if !known {
		return &UnknownApproverError{
			Approver: s.Approver,
		}
	}
	if len(key) != ed25519.PublicKeySize {
		return &KeyError{
			Approver: s.Approver,
			Size:     len(key),
		}
	}
	if !ed25519.Verify(key, signedBytes(s.Content), s.Signature) {
		return &SignatureError{
			Sequence: s.Sequence,
			Approver: s.Approver,
		}
	}
	return nil
}

// decodeContent rejects unknown fields: an instance that does not know a rule must not claim to enforce it.
func decodeContent(content []byte) (Bundle, error) {
	var b Bundle
	d := json.NewDecoder(bytes.NewReader(content))
	d.DisallowUnknownFields()
	if err := d.Decode(&b); err != nil {
		return Bundle{}, &ContentError{
			Cause: err,
		}
	}
	return b, nil
}

func checkEnvelope(s Signed, b Bundle) error {
	digest := Digest(s.Content)
	for _, c := range []struct{ field, want, got string }{
		{"digest", digest, s.Digest},
		{"author", b.Author, s.Author},
		{"sequence", fmt.Sprint(b.Sequence), fmt.Sprint(s.Sequence)},
	} {
		if c.want != c.got {
			return &EnvelopeError{
				Field: c.field,
				Want:  c.want,
				Got:   c.got,
			}
		}
	}
	return nil
}

// sameKey reports whether two names have the same key, which means that one person is listed under both.
func sameKey(approvers map[string]ed25519.PublicKey, a, b string) bool {
	key, known := approvers[b]
	return known && bytes.Equal(key, approvers[a])
}

func signedBytes(content []byte) []byte {
	message := make([]byte, 0, len(signaturePurpose)+len(content))
	message = append(message, signaturePurpose...)
	return append(message, content...)
}
