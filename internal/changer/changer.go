package changer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"reflect"
	"time"

	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/timer"
)

const (
	attempts = 4
	// pause lets the store's rate limit and a short loss of connection pass.
	pause = 250 * time.Millisecond
)

// Write is one conditional write; a Version of 0 means that the object must not exist.
type Write struct {
	Kind    storer.Kind
	Name    string
	Version int64
	Value   any
}

// Changer executes conditional writes.
type Changer struct {
	Store storer.Store
	Clock timer.Clock
}

// Apply writes the value and returns its version; after a lost answer it reads back and repeats the write on the same condition.
func (c Changer) Apply(ctx context.Context, w Write) (int64, error) {
	encoded, err := json.Marshal(w.Value)
	if err != nil {
		return 0, err
	}
	p := progress{
		changer: c,
		write:   w,
		encoded: encoded,
	}
	for range attempts {
		version, finished, err := p.try(ctx)
		if finished {
			return version, err
		}
		p.cause = err
		if !c.wait(ctx) {
			break
		}
	}
	return 0, p.giveUp()
}

func (c Changer) wait(ctx context.Context) bool {
	select {
	case <-c.Clock.After(pause):
		return true
	case <-ctx.Done():
		return false
	}
}

// progress is the state of one write over its attempts.
type progress struct {
	changer Changer
	write   Write
	encoded json.RawMessage
	lost    bool
	cause   error
}

// try makes one attempt and reports whether its outcome is final.
func (p *progress) try(ctx context.Context) (version int64, finished bool, err error) {
	version, err = p.send(ctx)
	var conflict *storer.ConflictError
	var unavailable *storer.UnavailableError
	var throttled *storer.ThrottledError
	var missing *storer.NotFoundError
	switch {
	case errors.As(err, &missing):
		// An update of an object that was deleted since.
		version, err = p.compare(storer.Object{})
		return version, true, err
	case errors.As(err, &conflict):
		version, err = p.compare(conflict.Current)
		return version, true, err
	case errors.As(err, &throttled):
		return 0, false, err
	case errors.As(err, &unavailable) && unavailable.Sent:
		p.lost = true
		return p.readBack(ctx, err)
	case errors.As(err, &unavailable):
		return 0, !p.lost, err
	}
	return version, true, err
}

func (p *progress) send(ctx context.Context) (int64, error) {
	w := p.write
	if w.Version == 0 {
		return p.changer.Store.Create(ctx, w.Kind, w.Name, p.encoded)
	}
	return p.changer.Store.Update(ctx, w.Kind, w.Name, w.Version, p.encoded)
}

// readBack looks at the object; if it is unchanged, the write is repeated, since the lost one may still arrive.
func (p *progress) readBack(ctx context.Context, cause error) (version int64, finished bool, err error) {
	current, err := p.changer.Store.Get(ctx, p.write.Kind, p.write.Name)
	var missing *storer.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return 0, false, cause
	}
	if current.Version == p.write.Version {
		return 0, false, cause
	}
	version, err = p.compare(current)
	return version, true, err
}

// compare tells an own write whose answer was lost from a change by somebody else.
func (p *progress) compare(current storer.Object) (int64, error) {
	if p.lost && sameJSON(current.Value, p.encoded) {
		return current.Version, nil
	}
	return 0, &ConflictError{
		Kind:       p.write.Kind,
		Name:       p.write.Name,
		Current:    current,
		AnswerLost: p.lost,
	}
}

func (p *progress) giveUp() error {
	if !p.lost {
		return p.cause
	}
	return &UnknownOutcomeError{
		Kind:  p.write.Kind,
		Name:  p.write.Name,
		Cause: p.cause,
	}
}

// sameJSON compares values, since a store may rewrite white space and the order of keys.
func sameJSON(a, b json.RawMessage) bool {
	left, err := decode(a)
	if err != nil {
		return false
	}
	right, err := decode(b)
	return err == nil && reflect.DeepEqual(left, right)
}

func decode(content json.RawMessage) (any, error) {
	decoder := json.NewDecoder(bytes.NewReader(content))
	// Numbers beyond 2^53 must not compare as equal.
	decoder.UseNumber()
	var value any
	err := decoder.Decode(&value)
	return value, err
}
