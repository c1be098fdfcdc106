package platform

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/internal/emulator/runner"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/timer"
	"bergamothollow.example/bergamothollow/pkg/versioner"
)

// start serves a platform and returns it with a client of package storer.
func start(t *testing.T, o Options) (*Platform, *storer.HTTP) {
	t.Helper()
	server, err := runner.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o.Clock = timer.System{}
	p := New(o)
	p.Register(server)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, t.Output()) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	client, err := storer.NewHTTP(server.Address(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return p, client
}

func assertVersion(t *testing.T, got versioner.Version, err error, want int64) {
	t.Helper()
	if err != nil || got != versioner.Of(want) {
		t.Fatalf("got version %d, error %v; want version %d", got, err, want)
	}
}

func assertError[E error](t *testing.T, err error) E {
	t.Helper()
	var want E
	if !errors.As(err, &want) {
		t.Fatalf("got error %v, want %T", err, want)
	}
	return want
}

func TestPlatform(t *testing.T) {
	ctx := context.Background()
	o := Options{
		WritesPerSecond: 300,
		ReadsPerSecond:  2000,
	}
	value := json.RawMessage(`{"a":1}`)

	// Guards against two writers that both believe they won.
	t.Run("conditional writes", func(t *testing.T) {
		_, client := start(t, o)
		version, err := client.Create(ctx, storer.KindCell, "c/1", value)
		assertVersion(t, version, err, 1)
		_, err = client.Create(ctx, storer.KindCell, "c/1", value)
		if conflict := assertError[*storer.ConflictError](t, err); conflict.Current.Number != 1 {
			t.Fatalf("conflict carries version %d, want 1", conflict.Current.Number)
		}
		version, err = client.Update(ctx, storer.KindCell, "c/1", versioner.Of(1), value)
		assertVersion(t, version, err, 2)
		_, err = client.Update(ctx, storer.KindCell, "c/1", versioner.Of(1), value)
		assertError[*storer.ConflictError](t, err)
		_, err = client.Update(ctx, storer.KindCell, "missing", versioner.Of(7), value)
		assertError[*storer.ConflictError](t, err)
		if err = client.Delete(ctx, storer.KindCell, "c/1", versioner.Of(2)); err != nil {
			t.Fatal(err)
		}
		_, err = client.Get(ctx, storer.KindCell, "c/1")
		assertError[*storer.NotFoundError](t, err)
	})

	// Guards against a lost answer whose write did not take effect, or took effect twice.
	t.Run("lost answer", func(t *testing.T) {
		p, client := start(t, o)
		// An earlier write leaves an open connection: HTTP clients may repeat a write on a reused connection.
		_, _ = client.Create(ctx, storer.KindCell, "earlier", value)
		p.SetFaults(Faults{
			LoseAnswers: 1,
		})
		_, err := client.Create(ctx, storer.KindCell, "c", value)
		if lost := assertError[*storer.UnavailableError](t, err); !lost.Sent {
			t.Fatal("a lost answer is reported as not sent")
		}
		object, err := client.Get(ctx, storer.KindCell, "c")
		assertVersion(t, object.Version, err, 2)
		if puts := p.Counts()["put"]; puts != 2 {
			t.Fatalf("got %d puts, want 2", puts)
		}
	})

	// Guards against watches that miss a change, return for another kind or hide that history was dropped.
	t.Run("watch", func(t *testing.T) {
		p, client := start(t, o)
		go func() {
			_, _ = client.Create(ctx, storer.KindMember, "m", value)
			_, _ = client.Create(ctx, storer.KindCell, "c", value)
			_ = client.Delete(ctx, storer.KindCell, "c", versioner.Of(2))
		}()
		changes, err := client.Watch(ctx, storer.KindCell, versioner.Of(0), 5*time.Second)
		if err != nil || len(changes.Events) == 0 || changes.Events[0].Object.Name != "c" {
			t.Fatalf("got %+v, %v", changes, err)
		}
		changes, err = client.Watch(ctx, storer.KindCell, versioner.Of(2), 5*time.Second)
		if err != nil || len(changes.Events) != 1 || changes.Events[0].Type != storer.EventDelete {
			t.Fatalf("got %+v, %v", changes, err)
		}
		changes, err = client.Watch(ctx, storer.KindCell, versioner.Of(3), 10*time.Millisecond)
		if err != nil || len(changes.Events) != 0 || changes.Number != 3 {
			t.Fatalf("got %+v, %v", changes, err)
		}
		p.store.Compact()
		_, err = client.Watch(ctx, storer.KindCell, versioner.Of(2), time.Second)
		assertError[*storer.CompactedError](t, err)
	})

	// Guards against pages that repeat or skip names.
	t.Run("list", func(t *testing.T) {
		_, client := start(t, o)
		for _, name := range []string{"b", "a1", "a3", "a2"} {
			_, _ = client.Create(ctx, storer.KindTarget, name, value)
		}
		listing, err := client.List(ctx, storer.KindTarget, "a", "a1", 1)
		if err != nil || len(listing.Items) != 1 || listing.Items[0].Name != "a2" || listing.Number != 4 {
			t.Fatalf("got %+v, %v", listing, err)
		}
	})

	// Guards against a rate limit or an outage that lets writes through.
	t.Run("limits and outage", func(t *testing.T) {
		p, client := start(t, Options{
			WritesPerSecond: 0,
			ReadsPerSecond:  10,
		})
		_, err := client.Create(ctx, storer.KindCell, "c", value)
		assertError[*storer.ThrottledError](t, err)
		p.SetFaults(Faults{
			Down: true,
		})
		_, err = client.Get(ctx, storer.KindCell, "c")
		assertError[*storer.UnavailableError](t, err)
	})
}

// Guards against a list of instances that shows a change before its lag.
func TestRoster(t *testing.T) {
	now := time.Unix(1000, 0)
	r := roster{
		lag:    5 * time.Second,
		states: map[namer.Instance]storer.InstanceState{},
	}
	r.set(now, "n1", storer.InstanceLive)
	r.set(now.Add(time.Second), "n1", stateGone)
	for _, step := range []struct {
		after time.Duration
		want  int
	}{
		{after: 4 * time.Second, want: 0},
		{after: 5 * time.Second, want: 1},
		{after: 6 * time.Second, want: 0},
	} {
		if got := len(r.list(now.Add(step.after))); got != step.want {
			t.Errorf("after %v: got %d instances, want %d", step.after, got, step.want)
		}
	}
}
