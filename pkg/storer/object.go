package storer

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/versioner"
)

// Kind names one kind of object.
type Kind string

// The kinds of objects that the system keeps.
const (
	KindMember        Kind = "member"
	KindCell          Kind = "cell"
	KindTarget        Kind = "target"
	KindDeparture     Kind = "departure"
	KindBundle        Kind = "bundle"
	KindBundlePointer Kind = "bundle_pointer"
	KindCall          Kind = "call"
	KindRefusal       Kind = "refusal"
)

// CurrentName is the name of the object of a kind that has only one object.
const CurrentName = "current"

// Object is a stored JSON value with its kind, name and version.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	versioner.Version
	Value json.RawMessage `json:"value"`
}

// EventType is the type of a change.
type EventType string

// The types of events.
const (
	EventPut    EventType = "put"
	EventDelete EventType = "delete"
)

// Event is one change seen by a watch.
type Event struct {
	Type   EventType `json:"type"`
	Object Object    `json:"object"`
}

// Listing is a page of objects at a version of the store.
type Listing struct {
	Items []Object `json:"items"`
	versioner.Version
}

// Changes are the events that a watch returned and the version up to which they are complete.
type Changes struct {
	Events []Event `json:"events"`
	versioner.Version
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// The states in the platform's list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// ListedInstance is one entry of the platform's list of instances, which may be out of date.
type ListedInstance struct {
	Instance namer.Instance `json:"instance"`
	State    InstanceState  `json:"state"`
}

// Store is the platform's object API. Each method makes one call and does not retry.
type Store interface {
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// Create writes the value if no object has the name.
	Create(ctx context.Context, kind Kind, name string, value json.RawMessage) (versioner.Version, error)
	// Update writes the value if the object still has the version.
	Update(ctx context.Context, kind Kind, name string, version versioner.Version, value json.RawMessage) (versioner.Version, error)
	Delete(ctx context.Context, kind Kind, name string, version versioner.Version) error
	List(ctx context.Context, kind Kind, prefix, after string, limit int) (Listing, error)
	Watch(ctx context.Context, kind Kind, after versioner.Version, wait time.Duration) (Changes, error)
	Instances(ctx context.Context) ([]ListedInstance, error)
}

// NotFoundError means that no object has the name.
type NotFoundError struct {
	Kind Kind
	Name string
	// Era is the era of the store in which there is no such object, 0 if the store states none.
	Era int64
}

// Error describes the missing object.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no %s named %q", e.Kind, e.Name)
}

// ConflictError means that the object is not at the expected version.
type ConflictError struct {
	Kind    Kind
	Name    string
	Current Object
}

// Error describes the conflict.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s %q was changed by another writer (now version %d): read it and try again", e.Kind, e.Name, e.Current.Number)
}

// UnavailableError means that the store responded with an error or not at all. If Sent is set, a write may have taken
// effect.
type UnavailableError struct {
	// Sent is set if the call may have reached the store.
	Sent  bool
	Cause error
}

// Error describes the failed call.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the platform's store is unavailable: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Cause
}

// CompactedError means that the store no longer has the events that a watch asked for; the caller must list again.
type CompactedError struct {
	After versioner.Version
}

// Error names the version and says what to do.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("history after version %d is gone: list again", e.After.Number)
}

// EraError means that the store was restored from a copy between two steps that must see the same store; the object must be read again.
type EraError struct {
	// Known is the era of the version that the call is based on, and Current the store's era.
	Known, Current int64
}

// Error states both eras.
func (e *EraError) Error() string {
	return fmt.Sprintf("the store was restored from a copy (era %d, now %d): read the object again", e.Known-1, e.Current-1)
}

// ThrottledError means that the store refused the call because of its rate limit. The call did not take effect.
type ThrottledError struct{}

// Error describes the refusal.
func (e *ThrottledError) Error() string {
	return "the platform's store refused the call: rate limit exceeded"
}
