package coordinator

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"bergamothollow.example/bergamothollow/pkg/convener"
	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/tallier"
	"bergamothollow.example/bergamothollow/pkg/warden"
)

// dutyRecordName is the name of the only object of its kind, which names the holder of the duties.
const dutyRecordName = "current"

// maxStateBytes bounds the state that is read from the store.
const maxStateBytes = 64 << 20

// storedDuties is the object that names the holder of the duties.
type storedDuties struct {
	Holder   string `json:"holder"`
	Fence    int64  `json:"fence"`
	Released bool   `json:"released,omitempty"`
	// State is gzip-compressed JSON of a tallier.State.
	State []byte `json:"state,omitempty"`
}

// dutyRecordResult is the result of a read or write of the record.
type dutyRecordResult struct {
	record warden.Record
	state  tallier.State
	// written is set if a write was done.
	written bool
	// bytes is the size of what was written.
	bytes int
	err   error
}

func (dutyRecordResult) message() {}

// holdDuties renews, takes or gives up the duties.
func (c *Coordinator) holdDuties(ctx context.Context, now time.Time) {
	d := &c.duties
	at := c.options.Duties.Elapsed()
	action := d.warden.Tick(at, warden.Wish{
		Hold:  c.convener.Role() == convener.Leading && !d.quitting,
		Busy:  d.calls > 0,
		Store: c.options.Duties.Usage && d.tallier.Due(c.trueTime(), c.countsKnown(now)),
	})
	switch a := action.(type) {
	case warden.Read:
		go c.readDuties(ctx)
	case warden.Write:
		var state tallier.State
		if c.options.Duties.Usage {
			if a.Lost {
				c.skipLostWindows()
			}
			state = d.tallier.Propose(c.trueTime(), c.countsKnown(now))
		}
		go c.writeDuties(ctx, a.Record, state)
	}
}

func encodeDuties(r warden.Record, state tallier.State) (json.RawMessage, error) {
	plain, err := json.Marshal(state)
	if err != nil {
		return nil, err
	}
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return json.Marshal(storedDuties{
		Holder:   r.Holder,
		Fence:    r.Fence,
		Released: r.Released,
		State:    packed.Bytes(),
	})
}

func decodeDuties(o storer.Object) (warden.Record, tallier.State, error) {
	var stored storedDuties
	var state tallier.State
	if !o.Exists() {
		return warden.Record{Version: o.Version}, state, nil
	}
	if err := json.Unmarshal(o.Value, &stored); err != nil {
		return warden.Record{}, state, err
	}
	record := warden.Record{
		Version:  o.Version,
		Holder:   stored.Holder,
		Fence:    stored.Fence,
		Released: stored.Released,
	}
	if len(stored.State) == 0 {
		return record, state, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(stored.State))
	if err != nil {
		return warden.Record{}, state, err
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxStateBytes))
	if err != nil {
		return warden.Record{}, state, err
	}
	return record, state, json.Unmarshal(plain, &state)
}

func (c *Coordinator) readDuties(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, pointerTimeout)
	defer cancel()
	object, err := c.options.Store.WithoutRetry(storer.PriorityControl).Get(call, c.options.Format.DutyKind, dutyRecordName)
	var missing *storer.NotFoundError
	if errors.As(err, &missing) {
		object, err = absentObject(missing), nil
	}
	c.sendDuties(ctx, object, err)
}

// writeDuties writes the record. It encodes the state itself, since that may take long with many customers and instances.
func (c *Coordinator) writeDuties(ctx context.Context, r warden.Record, state tallier.State) {
	value, err := encodeDuties(r, state)
	if err != nil {
		c.sendDuties(ctx, storer.Object{}, err)
		return
	}
	call, cancel := context.WithTimeout(ctx, pointerTimeout)
	defer cancel()
	store := c.options.Store.WithoutRetry(storer.PriorityControl)
	kind := c.options.Format.DutyKind
	version := r.Version
	if !version.Exists() {
		version, err = store.Create(call, kind, dutyRecordName, value)
	} else {
		version, err = store.Update(call, kind, dutyRecordName, version, value)
	}
	var conflict *storer.ConflictError
	switch {
	case errors.As(err, &conflict):
		// Another instance was first; the error contains the current object.
		c.sendDuties(ctx, conflict.Current, nil)
	case err != nil:
		c.sendDuties(ctx, storer.Object{}, err)
	default:
		r.Version = version
		c.send(ctx, dutyRecordResult{
			record:  r,
			state:   state,
			written: true,
			bytes:   len(value),
		})
	}
}

// sendDuties sends what was read to the control goroutine.
func (c *Coordinator) sendDuties(ctx context.Context, o storer.Object, err error) {
	m := dutyRecordResult{
		err: err,
	}
	if err == nil {
		m.record, m.state, m.err = decodeDuties(o)
	}
	c.send(ctx, m)
}

func (c *Coordinator) handleDutyRecord(m dutyRecordResult) {
	d := &c.duties
	at := c.options.Duties.Elapsed()
	_, _, held := d.warden.Turn(at)
	c.enterEra(c.options.Clock.Now(), m.record.Version)
	switch {
	case m.err != nil:
		c.options.Log.Warn().Err(m.err).Msg("duties: record not reached")
		d.warden.Failed(at)
		return
	case m.written:
		d.storedBytes = m.bytes
		d.warden.Written(at, m.record.Version)
	default:
		d.warden.Seen(at, m.record)
	}
	if c.options.Duties.Usage && m.record.Version.Exists() {
		d.tallier.Adopt(m.state)
	}
	if fence, _, holds := d.warden.Turn(at); holds != held {
		c.options.Log.Info().Bool("holds", holds).Int64("fence", fence).Str("holder", m.record.Holder).
			Bool("released", m.record.Released).Msg("duties: holder")
	}
}
