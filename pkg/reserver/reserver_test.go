package reserver

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

var (
	testStart = time.Unix(1_000_000, 0)
	owner     = namer.Holder{
		Instance:    "o",
		Incarnation: "a",
	}
)

// newRecipient returns a reserver with a quota of 10,000 tokens on each target.
func newRecipient(targets ...namer.Target) *Reserver {
	r := New()
	for _, id := range targets {
		r.Handle(OwnerChanged{Target: id, Owner: owner}, testStart)
		grantQuota(r, id, 1, 10_000, testStart)
	}
	return r
}

func grantQuota(r *Reserver, id namer.Target, number int64, tokens int, requested time.Time) {
	r.Handle(QuotasReceived{From: owner, Number: number, Requested: requested, Quotas: []Quota{{
		Target:        id,
		Epoch:         1,
		Boot:          "b",
		MemoryTokens:  tokens,
		PrefillTokens: 10_000,
		Valid:         6 * time.Second,
	}}}, requested)
}

func reserve(r *Reserver, id namer.Request, tokens, prefill int, wait time.Duration, now time.Time) []Action {
	return r.Handle(Reserve{Request: id, Target: "t", Tokens: tokens, PrefillTokens: prefill, Wait: wait}, now)
}

func want[T Action](t *testing.T, actions []Action) T {
	t.Helper()
	for _, a := range actions {
		if v, ok := a.(T); ok {
			return v
		}
	}
	var none T
	t.Fatalf("got %#v, want a %T", actions, none)
	return none
}

func wantRoom(t *testing.T, r *Reserver, id namer.Target, now time.Time, tokens int) {
	t.Helper()
	if got := r.Room(id, now).MemoryTokens; got != tokens {
		t.Errorf("room on %s: got %d, want %d", id, got, tokens)
	}
}

// Guards against use beyond the quota, and against medium requests in the part of it that is kept for short ones.
func TestReserveWithinQuota(t *testing.T) {
	tests := []struct {
		name    string
		tokens  int
		prefill int
		granted bool
	}{
		{name: "short fills the quota", tokens: 10_000, prefill: 8_000, granted: true},
		{name: "short beyond the quota", tokens: 10_001, prefill: 8_000},
		{name: "medium within 85%", tokens: 8_500, prefill: 8_001, granted: true},
		{name: "medium above 85%", tokens: 8_501, prefill: 8_001},
		{name: "prefill beyond the quota", tokens: 100, prefill: 10_001},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRecipient("t")
			got := reserve(r, "q", tt.tokens, tt.prefill, 0, testStart)
			if tt.granted {
				want[Granted](t, got)
				return
			}
			want[Refused](t, got)
			wantRoom(t, r, "t", testStart, 10_000)
		})
	}
}

// Guards against starting a request after the owner may have granted its memory to another process.
func TestStartIsDenied(t *testing.T) {
	tests := []struct {
		name    string
		change  func(r *Reserver)
		at      time.Duration
		boot    string
		allowed bool
	}{
		{name: "valid", at: 6*time.Second - 1, boot: "b", allowed: true},
		{name: "expired", at: 6 * time.Second, boot: "b"},
		{name: "other boot id on the connection", boot: "c"},
		{name: "quota has shrunk", boot: "b", change: func(r *Reserver) { grantQuota(r, "t", 2, 4_999, testStart) }},
		{name: "late message of the owner", boot: "b", allowed: true, change: func(r *Reserver) { grantQuota(r, "t", 1, 4_999, testStart) }},
		{name: "released", boot: "b", change: func(r *Reserver) { r.Handle(Release{Request: "q", Exit: CallerGone}, testStart) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRecipient("t")
			want[Granted](t, reserve(r, "q", 5_000, 100, 0, testStart))
			if tt.change != nil {
				tt.change(r)
			}
			got := r.Handle(Start{Request: "q", Target: "t", Boot: tt.boot}, testStart.Add(tt.at))
			if tt.allowed {
				want[StartAllowed](t, got)
				return
			}
			want[StartDenied](t, got)
		})
	}
}

// Guards against memory that is released twice or never, for each way in which an attempt ends.
func TestReleaseOnce(t *testing.T) {
	for _, exit := range []Exit{Finished, Failed, Cancelled, CallerGone} {
		t.Run(string(exit), func(t *testing.T) {
			r := newRecipient("t")
			reserve(r, "q", 5_000, 100, 0, testStart)
			reserve(r, "q2", 3_000, 100, 0, testStart)
			r.Handle(Release{Request: "q", Exit: exit}, testStart)
			r.Handle(Release{Request: "q", Exit: exit}, testStart)
			wantRoom(t, r, "t", testStart, 7_000)
		})
	}
}

// Guards against one-off reservations that stay allocated at the owner after the attempt has ended.
func TestOneOff(t *testing.T) {
	answer := OwnerAnswered{Owner: owner, Request: "q", Target: "t", Granted: true, Epoch: 1, Boot: "b", Valid: 6 * time.Second}
	t.Run("granted", func(t *testing.T) {
		r := newRecipient("t")
		want[AskOwner](t, reserve(r, "q", 50_000, 100, time.Second, testStart))
		want[Granted](t, r.Handle(answer, testStart.Add(time.Second)))
		want[StartDenied](t, r.Handle(Start{Request: "q", Target: "t", Boot: "b"}, testStart.Add(6*time.Second)))
		want[ReleaseAtOwner](t, r.Handle(Release{Request: "q", Exit: Failed}, testStart))
	})
	t.Run("granted after the asker left", func(t *testing.T) {
		r := newRecipient("t")
		reserve(r, "q", 50_000, 100, time.Second, testStart)
		want[ReleaseAtOwner](t, r.Handle(Release{Request: "q", Exit: CallerGone}, testStart))
		want[ReleaseAtOwner](t, r.Handle(answer, testStart))
	})
	t.Run("no answer", func(t *testing.T) {
		r := newRecipient("t")
		reserve(r, "q", 50_000, 100, time.Second, testStart)
		got := r.Handle(Tick{}, testStart.Add(3*time.Second))
		want[ReleaseAtOwner](t, got)
		want[Refused](t, got)
	})
	t.Run("long requests always ask", func(t *testing.T) {
		r := newRecipient("t")
		want[AskOwner](t, reserve(r, "q", 65_000, 64_001, time.Second, testStart))
	})
}

// Guards against asking a lost owner for memory while its successor already allocates the target.
func TestSuccessorIsAsked(t *testing.T) {
	r := newRecipient("t")
	successor := namer.Holder{Instance: "s", Incarnation: "a"}
	r.Handle(QuotasReceived{From: successor, Number: 1, Requested: testStart, Quotas: []Quota{{
		Target:       "t",
		Epoch:        2,
		Boot:         "b",
		MemoryTokens: 5_000,
		Valid:        6 * time.Second,
	}}}, testStart)
	grantQuota(r, "t", 2, 10_000, testStart)
	wantRoom(t, r, "t", testStart, 5_000)
	if got := want[AskOwner](t, reserve(r, "q", 9_000, 100, time.Second, testStart)); got.Owner != successor {
		t.Errorf("asked %v, want the successor", got.Owner)
	}
	if got := r.Demand(successor, testStart); len(got) != 1 || got[0].WantedTokens != 9_000 {
		t.Errorf("demand: got %v, want 9000 tokens wanted", got)
	}
}

// Guards against deadlock between groups, and against memory of a refused group that stays reserved.
func TestGroup(t *testing.T) {
	group := ReserveGroup{Request: "q", Targets: []namer.Target{"c", "a", "b"}, Tokens: 9_000, PrefillTokens: 100, Wait: time.Second}
	t.Run("in ascending order", func(t *testing.T) {
		got := want[Granted](t, newRecipient("a", "b", "c").Handle(group, testStart))
		if got.Grants[0].Target != "a" || got.Grants[2].Target != "c" {
			t.Errorf("got %v, want ascending targets", got.Grants)
		}
	})
	t.Run("all are released when one is refused", func(t *testing.T) {
		r := newRecipient("a", "b", "c")
		r.Handle(Reserve{Request: "p", Target: "b", Tokens: 5_000}, testStart)
		if got := want[AskOwner](t, r.Handle(group, testStart)); got.Target != "b" {
			t.Errorf("asked for %s, want b", got.Target)
		}
		want[Refused](t, r.Handle(OwnerAnswered{Owner: owner, Request: "q", Target: "b", Reason: refuser.NoTarget}, testStart))
		wantRoom(t, r, "a", testStart, 10_000)
		wantRoom(t, r, "b", testStart, 5_000)
	})
	t.Run("a restart loses one part", func(t *testing.T) {
		r := newRecipient("a", "b", "c")
		r.Handle(group, testStart)
		if got := want[TargetLost](t, r.Handle(TargetRestarted{Target: "b", Boot: "b2"}, testStart)); got.Target != "b" {
			t.Errorf("lost %s, want b", got.Target)
		}
		wantRoom(t, r, "a", testStart, 1_000)
		r.Handle(Release{Request: "q", Exit: Failed}, testStart)
		wantRoom(t, r, "a", testStart, 10_000)
	})
}

// Guards against usage counters that drift from the attempts: after any order of events, releasing all attempts must
// leave no usage.
func TestNothingStaysReserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRecipient("a", "b", "t")
		now := testStart
		number := int64(1)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			number++
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			id := namer.Request(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "request")))
			target := rapid.SampledFrom([]namer.Target{"a", "b", "t"}).Draw(t, "target")
			tokens := rapid.IntRange(1, 12_000).Draw(t, "tokens")
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				grantQuota(r, target, number, tokens, now)
			case 1:
				r.Handle(Reserve{Request: id, Target: target, Tokens: tokens, PrefillTokens: tokens, Wait: time.Second}, now)
			case 2:
				r.Handle(ReserveGroup{Request: id, Targets: []namer.Target{"t", "a", "b"}, Tokens: tokens, Wait: time.Second}, now)
			case 3:
				r.Handle(OwnerAnswered{Owner: owner, Request: id, Target: target, Granted: tokens%2 == 0, Boot: "b", Valid: time.Second}, now)
			case 4:
				r.Handle(Start{Request: id, Target: target, Boot: "b"}, now)
			case 5:
				r.Handle(PrefillDone{Request: id, Target: target}, now)
			case 6:
				r.Handle(Release{Request: id, Exit: Finished}, now)
			case 7:
				r.Handle(TargetRestarted{Target: target, Boot: fmt.Sprint("b", tokens%2)}, now)
			}
		}
		for i := range 10 {
			r.Handle(Release{Request: namer.Request(fmt.Sprint(i)), Exit: Finished}, now)
		}
		for id, target := range r.targets {
			if u := target.usageOf(owner); u != (usage{}) || r.AttemptCount() != 0 {
				t.Fatalf("%s: %+v is left in use, %d attempts are held", id, u, r.AttemptCount())
			}
		}
	})
}

// BenchmarkReserve measures one reservation and its release, whose time must not depend on the number of targets.
func BenchmarkReserve(b *testing.B) {
	for _, n := range []int{25, 150, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			targets := make([]namer.Target, n)
			for i := range targets {
				targets[i] = namer.Target(fmt.Sprintf("t%03d", i))
			}
			r := newRecipient(targets...)
			b.ReportAllocs()
			for i := range b.N {
				id := targets[i%n]
				r.Handle(Reserve{Request: "q", Target: id, Tokens: 1000, PrefillTokens: 500}, testStart)
				r.Handle(Start{Request: "q", Target: id, Boot: "b"}, testStart)
				r.Handle(Release{Request: "q", Exit: Finished}, testStart)
			}
		})
	}
}
