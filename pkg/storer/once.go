package storer

import (
	"context"
	"encoding/json"
	"time"
)

// once makes each call a single time, within the client's budget; it implements Store.
type once struct {
	client   *Client
	priority Priority
}

// Get reads one object.
func (o *once) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	return single(ctx, o, "get", func(n *Counters) { n.Get++ }, func() (Object, error) {
		return o.client.store.Get(ctx, kind, name)
	})
}

// Create writes the value if no object has the name.
func (o *once) Create(ctx context.Context, kind Kind, name string, value json.RawMessage) (int64, error) {
	return single(ctx, o, "create", func(n *Counters) { n.Create++ }, func() (int64, error) {
		return o.client.store.Create(ctx, kind, name, value)
	})
}

// Update writes the value if the object still has the version.
func (o *once) Update(ctx context.Context, kind Kind, name string, version int64, value json.RawMessage) (int64, error) {
	return single(ctx, o, "update", func(n *Counters) { n.Update++ }, func() (int64, error) {
		return o.client.store.Update(ctx, kind, name, version, value)
	})
}

// Delete removes the object if it still has the version.
func (o *once) Delete(ctx context.Context, kind Kind, name string, version int64) error {
	_, err := single(ctx, o, "delete", func(n *Counters) { n.Delete++ }, func() (struct{}, error) {
		return struct{}{}, o.client.store.Delete(ctx, kind, name, version)
	})
	return err
}

// List reads a page of objects.
func (o *once) List(ctx context.Context, kind Kind, prefix, after string, limit int) (Listing, error) {
	return single(ctx, o, "list", func(n *Counters) { n.List++ }, func() (Listing, error) {
		return o.client.store.List(ctx, kind, prefix, after, limit)
	})
}

// Watch waits for changes of a kind after a version.
func (o *once) Watch(ctx context.Context, kind Kind, after int64, wait time.Duration) (Changes, error) {
	return single(ctx, o, "watch", func(n *Counters) { n.Watch++ }, func() (Changes, error) {
		return o.client.store.Watch(ctx, kind, after, wait)
	})
}

// Instances reads the platform's lagging list of instances.
func (o *once) Instances(ctx context.Context) ([]ListedInstance, error) {
	return single(ctx, o, "instances", func(n *Counters) { n.Instances++ }, func() ([]ListedInstance, error) {
		return o.client.store.Instances(ctx)
	})
}

func single[V any](ctx context.Context, o *once, verb string, verbCounter func(*Counters), call func() (V, error)) (V, error) {
	if err := o.client.acquire(ctx, o.priority, verb); err != nil {
		var none V
		return none, err
	}
	o.client.count(verbCounter)
	v, err := call()
	o.client.note(err)
	return v, err
}
