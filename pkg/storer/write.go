package storer

import (
	"context"
	"errors"

	"bergamothollow.example/bergamothollow/pkg/versioner"
)

// write is one conditional write. It is retried, and the object read back after a lost response, until the outcome is
// known or the attempts are used up.
type write struct {
	client *Client
	store  Store
	kind   Kind
	name   string
	// expectedVersion is the version that the write is conditional on; it is zero for a create.
	expectedVersion versioner.Version
	isDelete        bool
	send            func() (versioner.Version, error)
	isOwnWrite      IsOwnWrite
	// mayBeWritten means that an earlier attempt may have taken effect.
	mayBeWritten bool
	// readingBack means that the next call reads the object instead of writing it.
	readingBack bool
}

// run returns the written version, a ConflictError, an UnresolvedError, or an error that means that nothing was written.
// A ConflictError after a lost response can also mean that the write took effect and was then overwritten.
func (w *write) run(ctx context.Context) (versioner.Version, error) {
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
			return versioner.Version{}, err
		}
	}
}

// attempt sends the write or reads the object back. A read-back succeeds if the object is unchanged and fails with a
// ConflictError if it has another version.
func (w *write) attempt(ctx context.Context) (versioner.Version, error) {
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
		return versioner.Version{}, nil
	case errors.As(err, &missing) && !w.expectedVersion.Exists():
		return versioner.Version{}, nil
	case errors.As(err, &missing):
		return versioner.Version{}, w.conflictError(Object{})
	case err != nil:
		return versioner.Version{}, err
	case object.Version == w.expectedVersion:
		return versioner.Version{}, nil
	default:
		return versioner.Version{}, w.conflictError(object)
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
func (w *write) showsWritten(err error) (bool, versioner.Version) {
	var conflict *ConflictError
	var missing *NotFoundError
	switch {
	case errors.As(err, &conflict) && w.isOwnWrite != nil && w.isOwnWrite(conflict.Current.Value):
		return true, conflict.Current.Version
	case errors.As(err, &missing) && w.isDelete:
		return true, versioner.Version{}
	case errors.As(err, &conflict) && w.isDelete && !conflict.Current.Exists():
		return true, versioner.Version{}
	default:
		return false, versioner.Version{}
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
