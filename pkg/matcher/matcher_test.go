package matcher

import (
	"reflect"
	"testing"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

func newFixture(keyRequired bool) *Matcher {
	urgent := 0
	return New(Rules{
		Version:     7,
		KeyRequired: keyRequired,
		Routes: []Route{
			{Name: "short", Host: "host", Prefix: "/a/", Priority: 1, Split: []Share{{Service: "one", Weight: 1}}},
			{Name: "long", Host: "host", Prefix: "/a/b/", Priority: 1, Split: []Share{{Service: "two", Weight: 1}}},
			{Name: "open", Host: "host", Prefix: "/open/", Anonymous: true},
		},
		Customers: []Customer{
			{Name: "crew", Keys: []string{"k1", "k2"}},
			{Name: "urgent", Keys: []string{"k3"}, Priority: &urgent},
		},
	})
}

// Guards against requests that run on another service than the most specific route names, and against requests without a
// valid key.
func TestMatch(t *testing.T) {
	for _, c := range []struct {
		name        string
		host        string
		path        string
		key         string
		keyRequired bool
		route       string
		customer    namer.Customer
		priority    int
		wantErr     error
	}{
		{name: "longest prefix", host: "host", path: "/a/b/c", key: "k1", keyRequired: true, route: "long", customer: "crew", priority: 1},
		{name: "shorter prefix", host: "HOST", path: "/a/c", key: "k2", keyRequired: true, route: "short", customer: "crew", priority: 1},
		{name: "priority of the customer", host: "host", path: "/a/c", key: "k3", keyRequired: true, route: "short", customer: "urgent"},
		{name: "prefix without its slash", host: "host", path: "/a", key: "k1", keyRequired: true, wantErr: &UnknownRouteError{}},
		{name: "other host", host: "else", path: "/a/", key: "k1", keyRequired: true, wantErr: &UnknownRouteError{}},
		{name: "unknown key", host: "host", path: "/a/", key: "k9", keyRequired: true, wantErr: &UnknownKeyError{}},
		{name: "no key", host: "host", path: "/a/", keyRequired: true, wantErr: &UnknownKeyError{}},
		{name: "no key on an open route", host: "host", path: "/open/x", keyRequired: true, route: "open"},
		{name: "no keys at all", host: "host", path: "/a/", route: "short", priority: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			match, err := newFixture(c.keyRequired).Match(c.host, c.path, c.key)
			assertKind(t, err, c.wantErr)
			if err != nil {
				return
			}
			if match.Route.Name != c.route || match.Customer != c.customer || match.Priority != c.priority {
				t.Errorf("got route %s, customer %q, priority %d", match.Route.Name, match.Customer, match.Priority)
			}
		})
	}
}

func assertKind(t *testing.T, err, want error) {
	t.Helper()
	if reflect.TypeOf(err) != reflect.TypeOf(want) {
		t.Fatalf("got %v, want a %T", err, want)
	}
}

// Guards against splits that send some requests to no service.
func TestChoose(t *testing.T) {
	r := Route{
		Split: []Share{{Service: "one", Weight: 90}, {Service: "two", Weight: 10}},
	}
	for _, c := range []struct {
		random float64
		want   namer.Service
	}{
		{random: 0, want: "one"},
		{random: 0.899, want: "one"},
		{random: 0.901, want: "two"},
		{random: 0.9999, want: "two"},
	} {
		if got := r.Choose(c.random); got != c.want {
			t.Errorf("random number %v selects %q, want %q", c.random, got, c.want)
		}
	}
}

// Guards against repeating a call that must run only once.
func TestRepeatable(t *testing.T) {
	for _, c := range []struct {
		route Route
		want  bool
	}{
		{route: Route{Kind: Idempotent}, want: true},
		{route: Route{Kind: NonIdempotent}},
		{route: Route{Kind: NonIdempotent, Resumable: true}},
		{route: Route{Kind: Streaming}},
		{route: Route{Kind: Streaming, Resumable: true}, want: true},
	} {
		if got := c.route.Repeatable(); got != c.want {
			t.Errorf("%+v: got %t", c.route, got)
		}
	}
}
