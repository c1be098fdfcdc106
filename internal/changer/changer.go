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
	"bergamothollow.example/bergamothollow/pkg/versioner"
)

const (
	maxAttempts = 4
	// retryDelay gives the store's rate limit and short connection losses time to clear.
	retryDelay = 250 * time.Millisecond
)

// Write is one conditional write; a Version of 0 means that the object must not exist.
type Write struct {
	Kind    storer.Kind
	Name    string
	Version int64
	Value   any
}

// Changer applies conditional writes to the store.
type Changer struct {
	Store storer.Store
	Clock timer.Clock
}

// Apply writes the value and returns its version. If the response is lost, it reads the object and, if that is unchanged,
// repeats the write with the same condition.
func (c Changer) Apply(ctx context.Context, w Write) (int64, error) {
	encoded, err := json.Marshal(w.Value)
	if err != nil {
		return 0, err
	}
	s := writeState{
		changer: c,
		write:   w,
		encoded: encoded,
	}
	for range maxAttempts {
		version, finished, err := s.try(ctx)
		if finished {
			return version, err
		}
		s.cause = err
		if !c.wait(ctx) {
			break
		}
	}
	return 0, s.finalError()
}

func (c Changer) wait(ctx context.Context) bool {
	select {
	case <-c.Clock.After(retryDelay):
		return true
	case <-ctx.Done():
		return false
	}
}

// writeState is the state of one write across its attempts.
type writeState struct {
	changer    Changer
	write      Write
	encoded    json.RawMessage
	answerLost bool
	cause      error
}

// try makes one attempt; finished means that its outcome is final.
func (s *writeState) try(ctx context.Context) (version int64, finished bool, err error) {
	version, err = s.send(ctx)
	var conflict *storer.ConflictError
	var unavailable *storer.UnavailableError
	var throttled *storer.ThrottledError
	var missing *storer.NotFoundError
	switch {
	case errors.As(err, &missing):
		// The object to update was deleted after it was read.
		version, err = s.compare(storer.Object{})
		return version, true, err
	case errors.As(err, &conflict):
		version, err = s.compare(conflict.Current)
		return version, true, err
	case errors.As(err, &throttled):
		return 0, false, err
	case errors.As(err, &unavailable) && unavailable.Sent:
		s.answerLost = true
		return s.readBack(ctx, err)
	case errors.As(err, &unavailable):
		return 0, !s.answerLost, err
	}
	return version, true, err
}

func (s *writeState) send(ctx context.Context) (int64, error) {
	w := s.write
	var version versioner.Version
	var err error
	if w.Version == 0 {
		version, err = s.changer.Store.Create(ctx, w.Kind, w.Name, s.encoded)
	} else {
		version, err = s.changer.Store.Update(ctx, w.Kind, w.Name, versioner.Of(w.Version), s.encoded)
	}
	return version.Number, err
}

// readBack reads the object after a lost response. If the object is unchanged, the write's outcome is not final and it is
// repeated, because the lost write may still arrive.
func (s *writeState) readBack(ctx context.Context, cause error) (version int64, finished bool, err error) {
	current, err := s.changer.Store.Get(ctx, s.write.Kind, s.write.Name)
	var missing *storer.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return 0, false, cause
	}
	if current.Version == versioner.Of(s.write.Version) {
		return 0, false, cause
	}
	version, err = s.compare(current)
	return version, true, err
}

// compare returns the version of the object if it holds this write, whose response was lost, else a conflict.
func (s *writeState) compare(current storer.Object) (int64, error) {
	if s.answerLost && sameJSON(current.Value, s.encoded) {
		return current.Number, nil
	}
	return 0, &ConflictError{
		Kind:       s.write.Kind,
		Name:       s.write.Name,
		Current:    current,
		AnswerLost: s.answerLost,
	}
}

func (s *writeState) finalError() error {
	if !s.answerLost {
		return s.cause
	}
	return &UnknownOutcomeError{
		Kind:  s.write.Kind,
		Name:  s.write.Name,
		Cause: s.cause,
	}
}

// sameJSON compares decoded values, because a store may change white space and the order of keys.
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
	// As float64, different numbers beyond 2^53 could compare as equal.
	decoder.UseNumber()
	var value any
	err := decoder.Decode(&value)
	return value, err
}
