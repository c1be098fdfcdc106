package deduplicator

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// State is the state of a call record.
type State string

// The states of a call record.
const (
	StateStarted State = "started"
	StateDone    State = "done"
	StateNotRun  State = "not_run"
)

// MaxBodyBytes bounds the body of a recorded outcome.
const MaxBodyBytes = 64 << 10

// Record is the stored state of the call with one idempotency key.
type Record struct {
	State State `json:"state"`
	// Holder and Attempt identify the claim (the write of state started); a claim is followed by at most one send.
	Holder   namer.Holder `json:"holder"`
	Attempt  int64        `json:"attempt"`
	Digest   string       `json:"digest"`
	Deadline time.Time    `json:"deadline"`
	Outcome  *Outcome     `json:"outcome,omitempty"`
}

// Outcome is the response of the service.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyDropped means that the body was over MaxBodyBytes and cannot be replayed.
	BodyDropped bool `json:"body_dropped,omitempty"`
}

// Name returns the object name of the call record for a customer's idempotency key.
func Name(customer namer.Customer, key string) string {
	sum := sha256.Sum256([]byte(key))
	return string(customer) + "." + hex.EncodeToString(sum[:])
}

// Digest returns the digest of a request, which distinguishes a retry from another request with the same key.
func Digest(service namer.Service, call string, body []byte) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(service), []byte(call), body} {
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil))
}
