package storer

import (
	"context"
	"encoding/json"
	"time"

	"bergamothollow.example/bergamothollow/pkg/versioner"
)

// singleAttempt makes each call once, without retries, within the client's budget; it implements Store.
type singleAttempt struct {
	client   *Client
	priority Priority
}

// Get reads one object.
func (s *singleAttempt) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	return callOnce(ctx, s, "get", func(n *Counters) { n.Get++ }, func() (Object, error) {
		return s.client.store.Get(ctx, kind, name)
	})
}

// Create writes the value if no object has the name.
func (s *singleAttempt) Create(ctx context.Context, kind Kind, name string, value json.RawMessage) (versioner.Version, error) {
	return callOnce(ctx, s, "create", func(n *Counters) { n.Create++ }, func() (versioner.Version, error) {
		return s.client.store.Create(ctx, kind, name, value)
	})
}

// Update writes the value if the object still has the version.
func (s *singleAttempt) Update(ctx context.Context, kind Kind, name string, version versioner.Version, value json.RawMessage) (versioner.Version, error) {
	return callOnce(ctx, s, "update", func(n *Counters) { n.Update++ }, func() (versioner.Version, error) {
		return s.client.store.Update(ctx, kind, name, version, value)
	})
}

// Delete removes the object if it still has the version.
func (s *singleAttempt) Delete(ctx context.Context, kind Kind, name string, version versioner.Version) error {
	_, err := callOnce(ctx, s, "delete", func(n *Counters) { n.Delete++ }, func() (struct{}, error) {
		return struct{}{}, s.client.store.Delete(ctx, kind, name, version)
	})
	return err
}

// List reads a page of objects.
func (s *singleAttempt) List(ctx context.Context, kind Kind, prefix, after string, limit int) (Listing, error) {
	return callOnce(ctx, s, "list", func(n *Counters) { n.List++ }, func() (Listing, error) {
		return s.client.store.List(ctx, kind, prefix, after, limit)
	})
}

// Watch waits for changes of a kind after a version.
func (s *singleAttempt) Watch(ctx context.Context, kind Kind, after versioner.Version, wait time.Duration) (Changes, error) {
	return callOnce(ctx, s, "watch", func(n *Counters) { n.Watch++ }, func() (Changes, error) {
		return s.client.store.Watch(ctx, kind, after, wait)
	})
}

// Instances reads the platform's list of instances, which may be out of date.
func (s *singleAttempt) Instances(ctx context.Context) ([]ListedInstance, error) {
	return callOnce(ctx, s, "instances", func(n *Counters) { n.Instances++ }, func() ([]ListedInstance, error) {
		return s.client.store.Instances(ctx)
	})
}

func callOnce[V any](ctx context.Context, s *singleAttempt, verb string, countVerb func(*Counters), call func() (V, error)) (V, error) {
	if err := s.client.acquire(ctx, s.priority, verb); err != nil {
		var none V
		return none, err
	}
	s.client.count(countVerb)
	v, err := call()
	s.client.recordResult(err)
	return v, err
}
