package storer

import (
	"context"
	"errors"
)

// write is one conditional write. It is retried, and the object read back after a lost response, until the outcome is
// known or the attempts are used up.
type write struct {
	client *Client
	store  Store
	kind   Kind
	name   string
	// expectedVersion is the version that the write is conditional on, 0 for a create.
	expectedVersion int64
	isDelete        bool
	send            func() (int64, error)
	isOwnWrite      IsOwnWrite
	// mayBeWritten means that an earlier attempt may have taken effect.
	mayBeWritten bool
	// readingBack means that the next call reads the object instead of writing it.
	readingBack bool
}

// run returns the written version, a ConflictError, an UnresolvedError, or an error that means that nothing was written.
// A ConflictError after a lost response can also mean that the write took effect and was then overwritten.
func (w *write) run(ctx context.Context) (int64, error) {
	for attempt := 1; ; attempt++ {
		version, err := w.attempt(ctx)
		if err == nil && !w.readingBack {
			return version, nil
		}
		if err == nil {
			// The read-back shows the object unchanged: the write has not taken effect and is sent again.
			w.readingBack = false
			continue
		}
		if written, version := w.showsWritten(err); written {
			return version, nil
		}
		if err := w.waitToRetry(ctx, attempt, err); err != nil {
			return 0, err
		}
	}
}

// attempt sends the write or reads the object back. A read-back succeeds if the object is unchanged and fails with a
// ConflictError if it has another version.
func (w *write) attempt(ctx context.Context) (int64, error) {
	if !w.readingBack {
		return w.send()
	}
	w.client.count(func(n *Counters) { n.ReadBacks++ })
	object, err := w.store.Get(ctx, w.kind, w.name)
	var missing *NotFoundError
	switch {
	case errors.As(err, &missing) && w.isDelete:
		// The delete has taken effect; with readingBack unset, run returns success.
		w.readingBack = false
		return 0, nil
	case errors.As(err, &missing) && w.expectedVersion == 0:
		return 0, nil
	case errors.As(err, &missing):
		return 0, w.conflictError(Object{})
	case err != nil:
		return 0, err
	case object.Version == w.expectedVersion:
		return 0, nil
	default:
		return 0, w.conflictError(object)
	}
}

func (w *write) conflictError(current Object) error {
	return &ConflictError{
		Kind:    w.kind,
		Name:    w.name,
		Current: current,
	}
}

// showsWritten reports whether the error shows that the write has taken effect, and the version that it wrote.
func (w *write) showsWritten(err error) (bool, int64) {
	var conflict *ConflictError
	var missing *NotFoundError
	switch {
	case errors.As(err, &conflict) && w.isOwnWrite != nil && w.isOwnWrite(conflict.Current.Value):
		return true, conflict.Current.Version
	case errors.As(err, &missing) && w.isDelete:
		return true, 0
	case errors.As(err, &conflict) && w.isDelete && conflict.Current.Version == 0:
		return true, 0
	default:
		return false, 0
	}
}

// waitToRetry waits before the next attempt, or returns the error that ends the write.
func (w *write) waitToRetry(ctx context.Context, attempt int, err error) error {
	decision := w.client.settings.Retry.Decide(attempt, !w.readingBack, err, w.client.randomFraction())
	switch d := decision.(type) {
	case Retry:
		w.client.count(func(n *Counters) { n.Retries++ })
		if w.client.sleep(ctx, d.Delay) == nil {
			return nil
		}
	case ReadBack:
		w.mayBeWritten = true
		w.readingBack = true
		if w.client.sleep(ctx, d.Delay) == nil {
			return nil
		}
	}
	return w.finalError(err)
}

// finalError turns the error into an UnresolvedError if the write may have taken effect.
func (w *write) finalError(err error) error {
	var conflict *ConflictError
	var unavailable *UnavailableError
	sent := errors.As(err, &unavailable) && unavailable.Sent && !w.readingBack
	if errors.As(err, &conflict) || !w.mayBeWritten && !sent {
		return err
	}
	return &UnresolvedError{
		Kind:  w.kind,
		Name:  w.name,
		Cause: err,
	}
}
