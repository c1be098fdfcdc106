package roller

import (
	"bytes"
	"compress/gzip"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

const validFile = `sequence: 3
author: ada
note: season start
customers:
  pier-crews:
    weight: 2
    requests_per_second: 10
    concurrency: 4
models:
  statement:
    max_prompt_tokens: 1000000
    max_output_tokens: 4000
services:
  ledger:
    calls:
      post_payout:
        repeatable: false
rules:
  default_deadline: 30s
  max_deadline: 10m
orders:
  engine-1:
    - kind: load_model
      name: statement
`

func mustParse(t *testing.T, content string) Bundle {
	t.Helper()
	b, err := Parse("bundle.yaml", []byte(content))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against faults in a bundle file that are accepted or reported at the wrong location.
func TestParse(t *testing.T) {
	for _, c := range []struct {
		name      string
		old       string
		new       string
		wantLine  int
		wantField string
	}{
		{"valid", "", "", 0, ""},
		{"unknown key", "    weight: 2", "    wieght: 2", 6, "customers.pier-crews.wieght"},
		{"unknown section", "models:", "modles:", 9, "modles"},
		{"wrong type", "concurrency: 4", "concurrency: many", 8, "customers.pier-crews.concurrency"},
		{"weight zero", "weight: 2", "weight: 0", 6, "customers.pier-crews.weight"},
		{"weight infinite", "weight: 2", "weight: .inf", 6, "customers.pier-crews.weight"},
		{"customer name", "pier-crews:", "pier/crews:", 5, "customers.pier/crews"},
		{"no sequence", "sequence: 3\n", "", 1, "sequence"},
		{"deadlines", "max_deadline: 10m", "max_deadline: 10s", 20, "rules.max_deadline"},
		{"duration", "max_deadline: 10m", "max_deadline: soon", 20, "rules.max_deadline"},
		{"order kind", "kind: load_model", "kind: fence", 23, "orders.engine-1.0.kind"},
		{"duplicate key", "note: season start", "author: bob", 3, "author"},
		{"no YAML", validFile, "{", 1, ""},
		{"empty", validFile, "", 1, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("bundle.yaml", []byte(strings.Replace(validFile, c.old, c.new, 1)))
			var fault *ParseError
			found := errors.As(err, &fault)
			convey.Convey(c.name, t, func() {
				convey.So(found, convey.ShouldEqual, c.wantLine > 0)
				if found {
					convey.So(fault.File, convey.ShouldEqual, "bundle.yaml")
					convey.So(fault.Line, convey.ShouldEqual, c.wantLine)
					convey.So(fault.Field, convey.ShouldEqual, c.wantField)
				}
			})
		})
	}
}

// Guards against a bundle in force that only its author has approved, or that was changed after its approval.
func TestVerify(t *testing.T) {
	b := mustParse(t, validFile)
	public, private, _ := ed25519.GenerateKey(nil)
	otherPublic, otherPrivate, _ := ed25519.GenerateKey(nil)
	signed, err := Sign(b, "ben", private)
	if err != nil {
		t.Fatal(err)
	}
	keys := map[string]ed25519.PublicKey{"ben": public, "eve": otherPublic}
	sign := func(key ed25519.PrivateKey, change func(*Signed)) Signed {
		s := signed
		change(&s)
		s.Signature = ed25519.Sign(key, signedBytes(s.Content))
		return s
	}
	for _, c := range []struct {
		name   string
		signed Signed
		keys   map[string]ed25519.PublicKey
		want   any
	}{
		{"valid", signed, keys, nil},
		{"unknown approver", sign(private, func(s *Signed) { s.Approver = "mallory" }), keys, new(*UnknownApproverError)},
		{"key of another", sign(otherPrivate, func(*Signed) {}), keys, new(*SignatureError)},
		{"changed content", Signed{Content: append([]byte(" "), signed.Content...), Approver: "ben", Signature: signed.Signature}, keys, new(*SignatureError)},
		{"changed sequence", sign(private, func(s *Signed) { s.Sequence++ }), keys, new(*EnvelopeError)},
		{"changed author", sign(private, func(s *Signed) { s.Author = "eve" }), keys, new(*EnvelopeError)},
		{"author's key under another name", signed, map[string]ed25519.PublicKey{"ben": public, "ada": public}, new(*ApproverError)},
		{"unknown field", sign(private, func(s *Signed) {
			s.Content = bytes.Replace(s.Content, []byte(`{"sequence"`), []byte(`{"extra":1,"sequence"`), 1)
		}), keys, new(*ContentError)},
		{"short key", signed, map[string]ed25519.PublicKey{"ben": public[:5]}, new(*KeyError)},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := Verify(c.signed, c.keys)
			convey.Convey(c.name, t, func() {
				if c.want == nil {
					convey.So(err, convey.ShouldBeNil)
					convey.So(got, convey.ShouldResemble, b)
					return
				}
				convey.So(errors.As(err, c.want), convey.ShouldBeTrue)
			})
		})
	}
	_, err = Sign(b, "ada", private)
	convey.Convey("an author cannot approve", t, func() {
		convey.So(errors.As(err, new(*ApproverError)), convey.ShouldBeTrue)
	})
}

// Guards against a conflict message that omits changes of the other person.
func TestDiff(t *testing.T) {
	old := mustParse(t, validFile)
	after := mustParse(t, strings.NewReplacer("weight: 2", "weight: 3", "pier-crews", "clerks").Replace(validFile))
	after.Orders = nil
	after.Services["ledger"] = ServiceRule{Calls: map[string]Call{"post_payout": {Repeatable: true}}}
	convey.Convey("paths are sorted and hold both values", t, func() {
		convey.So(Diff(old, old), convey.ShouldBeEmpty)
		changes := Diff(old, after)
		paths := make([]string, 0, len(changes))
		for _, c := range changes {
			paths = append(paths, c.Path+"="+c.Old+"|"+c.New)
		}
		convey.So(paths, convey.ShouldResemble, []string{
			"customers.clerks.concurrency=|4", "customers.clerks.requests_per_second=|10", "customers.clerks.weight=|3",
			"customers.pier-crews.concurrency=4|", "customers.pier-crews.requests_per_second=10|", "customers.pier-crews.weight=2|",
			"orders.engine-1.0.kind=load_model|", "orders.engine-1.0.name=statement|",
			"services.ledger.calls.post_payout.repeatable=false|true",
		})
	})
}

// Guards against an instance that starts during a store outage and serves without a bundle or with an old one.
func TestStartDuringOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	f := NewFollower(DefaultSettings("i9", map[string]ed25519.PublicKey{"ben": modelKey.Public().(ed25519.PublicKey)}), now)
	convey.Convey("the bundle with the highest sequence of the peers is fetched", t, func() {
		convey.So(f.Tick(now), convey.ShouldResemble, []Action{ReadPointer{}})
		f.ObservePeer("i1", 0, -1, now)
		convey.So(f.ObservePeer("i2", 4, -1, now), convey.ShouldResemble, []Action{FetchFromPeer{Peer: "i2", Sequence: 4}})
		f.ObservePeer("i3", 5, -1, now)
		convey.So(f.Ready(), convey.ShouldBeFalse)
		actions := f.ReceiveBundle("i2", modelBundles[3], now)
		convey.So(actions, convey.ShouldHaveLength, 2)
		convey.So(actions[1], convey.ShouldResemble, FetchFromPeer{Peer: "i3", Sequence: 5})
		f.ReceiveBundle("i3", modelBundles[4], now)
		convey.So(f.Ready(), convey.ShouldBeFalse)
		f.Tick(now.Add(3 * time.Second))
		convey.So(f.Ready(), convey.ShouldBeTrue)
		convey.So(f.Sequence(), convey.ShouldEqual, 5)
	})
}

func largeBundle(customers int) Bundle {
	b := Bundle{
		Sequence:  1,
		Author:    "ada",
		Customers: map[namer.Customer]Customer{},
		Rules:     Rules{DefaultDeadline: time.Second, MaxDeadline: time.Minute},
	}
	for i := range customers {
		b.Customers[namer.Customer(fmt.Sprintf("customer-%05d", i))] = Customer{
			Weight:            float64(1 + i%7),
			RequestsPerSecond: float64(5 + i%200),
			Concurrency:       1 + i%64,
		}
	}
	return b
}

// BenchmarkLargeBundle measures a bundle of 20,000 customers; the store's limit on values is 1 MB.
func BenchmarkLargeBundle(b *testing.B) {
	for _, customers := range []int{2_000, 20_000} {
		b.Run(fmt.Sprintf("%d_customers", customers), func(b *testing.B) { benchBundle(b, customers) })
	}
}

func benchBundle(b *testing.B, customers int) {
	b.Helper()
	bundle := largeBundle(customers)
	signed, err := Sign(bundle, "ben", modelKey)
	if err != nil {
		b.Fatal(err)
	}
	changed := largeBundle(customers)
	changed.Customers["customer-00007"] = Customer{Weight: 9, RequestsPerSecond: 1, Concurrency: 1}
	keys := map[string]ed25519.PublicKey{"ben": modelKey.Public().(ed25519.PublicKey)}
	b.Run("canonical", func(b *testing.B) {
		for range b.N {
			_, _ = Canonical(bundle)
		}
		value, _ := json.Marshal(signed)
		b.ReportMetric(float64(len(signed.Content)), "content-bytes")
		b.ReportMetric(float64(len(value)), "value-bytes")
		b.ReportMetric(float64(compressedSize(signed.Content)), "gzip-bytes")
	})
	b.Run("verify", func(b *testing.B) {
		for range b.N {
			if _, err := Verify(signed, keys); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("diff", func(b *testing.B) {
		for range b.N {
			if n := len(Diff(bundle, changed)); n != 3 {
				b.Fatal(n)
			}
		}
	})
}

func compressedSize(content []byte) int {
	var buffer bytes.Buffer
	w := gzip.NewWriter(&buffer)
	_, _ = w.Write(content)
	_ = w.Close()
	return buffer.Len()
}
