package storer

import (
	"context"
	"errors"
)

// write is one conditional write that is repeated and read back until its outcome is known.
type write struct {
	client *Client
	store  Store
	kind   Kind
	name   string
	// expect is the version that the write is conditional on, 0 for a create.
	expect int64
	remove bool
	send   func() (int64, error)
	mine   IsMine
	// uncertain means that an earlier attempt may have taken effect.
	uncertain bool
	// reading means that the next call reads back.
	reading bool
}

// run ends with a version, a ConflictError, an UnresolvedError, or an error that means that nothing was written. A
// conflict after a lost answer can also mean that the write took effect and was then replaced by another.
func (w *write) run(ctx context.Context) (int64, error) {
	for attempt := 1; ; attempt++ {
		version, err := w.step(ctx)
		if err == nil && !w.reading {
			return version, nil
		}
		if err == nil {
			// The object was read back unchanged: the write did not take effect yet and is sent again.
			w.reading = false
			continue
		}
		if done, version := w.settles(err); done {
			return version, nil
		}
		if err := w.wait(ctx, attempt, err); err != nil {
			return 0, err
		}
	}
}

func (w *write) step(ctx context.Context) (int64, error) {
	if !w.reading {
		return w.send()
	}
	w.client.count(func(n *Counters) { n.ReadBacks++ })
	object, err := w.store.Get(ctx, w.kind, w.name)
	var missing *NotFoundError
	switch {
	case errors.As(err, &missing) && w.remove:
		w.reading = false
		return 0, nil
	case errors.As(err, &missing) && w.expect == 0:
		return 0, nil
	case errors.As(err, &missing):
		return 0, w.conflict(Object{})
	case err != nil:
		return 0, err
	case object.Version == w.expect:
		return 0, nil
	default:
		return 0, w.conflict(object)
	}
}

func (w *write) conflict(current Object) error {
	return &ConflictError{
		Kind:    w.kind,
		Name:    w.name,
		Current: current,
	}
}

// settles reports whether the error shows that the write has taken effect.
func (w *write) settles(err error) (bool, int64) {
	var conflict *ConflictError
	var missing *NotFoundError
	switch {
	case errors.As(err, &conflict) && w.mine != nil && w.mine(conflict.Current.Value):
		return true, conflict.Current.Version
	case errors.As(err, &missing) && w.remove:
		return true, 0
	case errors.As(err, &conflict) && w.remove && conflict.Current.Version == 0:
		return true, 0
	default:
		return false, 0
	}
}

// wait delays the next call, or returns the error that ends the write.
func (w *write) wait(ctx context.Context, attempt int, err error) error {
	decision := w.client.settings.Retry.Decide(attempt, !w.reading, err, w.client.roll())
	switch d := decision.(type) {
	case Retry:
		w.client.count(func(n *Counters) { n.Retries++ })
		if w.client.sleep(ctx, d.Delay) == nil {
			return nil
		}
	case Resolve:
		w.uncertain = true
		w.reading = true
		if w.client.sleep(ctx, d.Delay) == nil {
			return nil
		}
	}
	return w.failure(err)
}

// failure tells a write that may have taken effect from one that did not.
func (w *write) failure(err error) error {
	var conflict *ConflictError
	var unavailable *UnavailableError
	sent := errors.As(err, &unavailable) && unavailable.Sent && !w.reading
	if errors.As(err, &conflict) || !w.uncertain && !sent {
		return err
	}
	return &UnresolvedError{
		Kind:  w.kind,
		Name:  w.name,
		Cause: err,
	}
}
