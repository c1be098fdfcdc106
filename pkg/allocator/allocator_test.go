package allocator

import (
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

var testStart = time.Unix(1_000_000, 0)

func testHolder(name string) namer.Holder {
	return namer.Holder{
		Instance:    namer.Instance(name),
		Incarnation: "a",
	}
}

// newOwner returns the allocator of an owner with a share of a warm fenced target of 100,000 tokens.
func newOwner(now time.Time, share float64) *Allocator {
	a := New(Options{
		Target:         "t",
		CapacityTokens: 100_000,
		PrefillTokens:  100_000,
		PrefillRate:    10_000,
		Fencing:        true,
	})
	a.Handle(AuthorityGiven{
		Share:     share,
		Epoch:     1,
		Until:     now.Add(time.Hour),
		KnownBoot: "b",
		KnownWarm: 1,
	}, now)
	a.Handle(RequestsListed{Boot: "b", Requested: now}, now)
	return a
}

func quotaOf(t *testing.T, a *Allocator, to string, now time.Time) int {
	t.Helper()
	actions := a.Handle(QuotaAsked{To: testHolder(to)}, now)
	if len(actions) != 1 {
		t.Fatalf("got %d actions, want one quota", len(actions))
	}
	return actions[0].(GrantQuota).MemoryTokens
}

func ask(a *Allocator, id string, tokens, prefill int, wait time.Duration, now time.Time) []Action {
	return a.Handle(ReserveAsked{
		From:          testHolder("x"),
		Request:       namer.Request(id),
		Tokens:        tokens,
		PrefillTokens: prefill,
		Wait:          wait,
	}, now)
}

func wantQuota(t *testing.T, a *Allocator, to string, now time.Time, want int) {
	t.Helper()
	if got := quotaOf(t, a, to, now); got != want {
		t.Errorf("quota of %s: got %d, want %d", to, got, want)
	}
}

// wantAnswer checks the first answer to a reservation; an empty reason stands for a grant.
func wantAnswer(t *testing.T, actions []Action, want refuser.Reason) {
	t.Helper()
	if len(actions) == 0 {
		t.Fatal("got no answer")
	}
	switch v := actions[0].(type) {
	case GrantReservation:
		if want != "" {
			t.Errorf("got a grant, want %s", want)
		}
	case DenyReservation:
		if v.Reason != want {
			t.Errorf("got %s, want %q", v.Reason, want)
		}
	default:
		t.Errorf("got %T, want an answer", v)
	}
}

// Guards against quotas whose sum exceeds quotaShare, and against idle recipients that keep memory which others need.
func TestQuotasFollowDemand(t *testing.T) {
	now := testStart
	a := newOwner(now, 1)
	for _, h := range []string{"x", "y"} {
		a.Handle(DemandReported{From: testHolder(h)}, now)
	}
	wantQuota(t, a, "x", now, 20_000)
	wantQuota(t, a, "y", now, 20_000)
	a.Handle(DemandReported{From: testHolder("x"), UsedTokens: 20_000, WantedTokens: 50_000}, now)
	wantQuota(t, a, "x", now, 60_000)
	a.Handle(DemandReported{From: testHolder("y"), UsedTokens: 20_000, WantedTokens: 50_000}, now)
	wantQuota(t, a, "y", now, 20_000)
	now = now.Add(time.Second)
	a.Handle(DemandReported{From: testHolder("x")}, now)
	wantQuota(t, a, "x", now, 20_000)
	wantQuota(t, a, "y", now, 20_000)
	now = now.Add(quotaExpiry())
	a.Handle(RequestsListed{Boot: "b", Requested: now}, now)
	wantQuota(t, a, "y", now, 60_000)
}

// Guards against a silent recipient that keeps its quota after the expiry, and against freeing the memory of its
// running requests.
func TestSilentRecipientKeepsOnlyItsRequests(t *testing.T) {
	now := testStart
	a := newOwner(now, 1)
	quotaOf(t, a, "x", now)
	running := []RunningRequest{{Request: "q", Holder: testHolder("x"), Epoch: 1, ReservedTokens: 7_000}}
	now = now.Add(quotaExpiry() - time.Millisecond)
	a.Handle(RequestsListed{Boot: "b", Requested: now, Requests: running}, now)
	if got := a.recipients[testHolder("x")].charge(); got < 40_000 {
		t.Errorf("charge before the expiry: got %d, want the whole quota", got)
	}
	now = now.Add(time.Millisecond)
	a.Handle(RequestsListed{Boot: "b", Requested: now, Requests: running}, now)
	if got := a.recipients[testHolder("x")].charge(); got != 7_000 {
		t.Errorf("charge after the expiry: got %d, want 7000", got)
	}
}

// Guards against a successor that ignores requests under other owners' grants, and against raising the share on a list
// that was requested before the raise.
func TestShareCountsUseOfOthers(t *testing.T) {
	tests := []struct {
		name    string
		share   float64
		foreign int
		want    int
	}{
		{name: "half, others within half", share: 0.5, foreign: 40_000, want: 50_000},
		{name: "half, others above half", share: 0.5, foreign: 70_000, want: 30_000},
		{name: "all, others running", share: 1, foreign: 40_000, want: 60_000},
		{name: "none", share: 0, want: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := testStart
			a := newOwner(now, tt.share)
			a.Handle(RequestsListed{Boot: "b", Requested: now, Requests: []RunningRequest{{
				Request:        "q",
				Holder:         testHolder("z"),
				Epoch:          7,
				ReservedTokens: tt.foreign,
			}}}, now)
			if got := a.limit(); got != tt.want {
				t.Errorf("limit: got %d, want %d", got, tt.want)
			}
			a.Handle(AuthorityGiven{Share: 1, Epoch: 2, Until: now.Add(time.Hour)}, now.Add(time.Second))
			if got := a.limit(); got != tt.want {
				t.Errorf("limit before a new list: got %d, want %d", got, tt.want)
			}
		})
	}
}

// Guards against reservations beyond the memory limits of the length classes.
func TestReservations(t *testing.T) {
	tests := []struct {
		name    string
		tokens  int
		prefill int
		want    refuser.Reason
	}{
		{name: "short may use all", tokens: 100_000, prefill: 8_000},
		{name: "medium within 85%", tokens: 85_000, prefill: 20_000},
		{name: "medium above 85%", tokens: 85_001, prefill: 20_000, want: refuser.PromptExceedsTargets},
		{name: "long within 85%", tokens: 80_000, prefill: 70_000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			wantAnswer(t, ask(newOwner(testStart, 1), "q", tt.tokens, tt.prefill, 0, testStart), tt.want)
		})
	}
}

// Guards against two long prefills on one target, and against a waiting request that never gets an answer.
func TestOneLongPrefill(t *testing.T) {
	now := testStart
	a := newOwner(now, 1)
	wantAnswer(t, ask(a, "q1", 30_000, 65_000, 0, now), "")
	if got := ask(a, "q2", 30_000, 65_000, time.Second, now); len(got) != 0 {
		t.Fatalf("got %v, want the second long request to wait", got)
	}
	running := []RunningRequest{{Request: "q1", Holder: testHolder("x"), Epoch: 1, ReservedTokens: 30_000, ProducedTokens: 1}}
	wantAnswer(t, a.Handle(RequestsListed{Boot: "b", Requested: now, Requests: running}, now), "")
	if got := ask(a, "q3", 30_000, 65_000, time.Second, now); len(got) != 0 {
		t.Fatalf("got %v, want the third long request to wait", got)
	}
	wantAnswer(t, a.Handle(Tick{}, now.Add(time.Second)), refuser.NoTarget)
}

// Guards against a reservation that leaks when its request never starts, and against double release.
func TestReservationIsFreed(t *testing.T) {
	now := testStart
	a := newOwner(now, 1)
	ask(a, "q1", 30_000, 100, 0, now)
	ask(a, "q2", 30_000, 100, 0, now)
	a.Handle(Released{From: testHolder("x"), Request: "q2"}, now)
	a.Handle(Released{From: testHolder("x"), Request: "q2"}, now)
	if _, got := a.charges(); got != 30_000 {
		t.Errorf("after the release: got %d, want 30000", got)
	}
	a.Handle(RequestsListed{Boot: "b", Requested: now.Add(time.Second)}, now.Add(time.Second))
	if _, got := a.charges(); got != 30_000 {
		t.Errorf("before the start deadline: got %d, want 30000", got)
	}
	a.Handle(RequestsListed{Boot: "b", Requested: now.Add(quotaExpiry())}, now.Add(quotaExpiry()))
	if _, got := a.charges(); got != 0 {
		t.Errorf("after the start deadline: got %d, want 0", got)
	}
}

// Guards against freeing a reservation on a list that the engine built before the request arrived, although the list
// was requested after one that shows the request.
func TestListsOutOfOrder(t *testing.T) {
	now := testStart
	a := newOwner(now, 1)
	ask(a, "q", 30_000, 100, 0, now)
	running := []RunningRequest{{Request: "q", Holder: testHolder("x"), Epoch: 1, ReservedTokens: 30_000}}
	a.Handle(RequestsListed{Boot: "b", Requested: now.Add(time.Second), Requests: running}, now.Add(4*time.Second))
	a.Handle(RequestsListed{Boot: "b", Requested: now.Add(3 * time.Second)}, now.Add(4*time.Second))
	if _, got := a.charges(); got != 30_000 {
		t.Errorf("after a list made before the start: got %d, want 30000", got)
	}
	a.Handle(RequestsListed{Boot: "b", Requested: now.Add(4 * time.Second)}, now.Add(5*time.Second))
	if _, got := a.charges(); got != 0 {
		t.Errorf("after a list made since: got %d, want 0", got)
	}
}

// Guards against requests that keep running when their holder is gone or does not know them.
func TestUnknownRequestsAreCancelled(t *testing.T) {
	now := testStart
	a := newOwner(now, 1)
	list := RequestsListed{Boot: "b", Requested: now, Requests: []RunningRequest{
		{Request: "q1", Holder: testHolder("gone"), Epoch: 1, ReservedTokens: 10},
		{Request: "q2", Holder: testHolder("x"), Epoch: 1, ReservedTokens: 10},
	}}
	a.Handle(HolderLost{Holder: testHolder("gone")}, now)
	got := a.Handle(list, now)
	if len(got) != 1 || got[0] != (CancelRequest{Target: "t", Request: "q1", Reason: HolderGone}) {
		t.Fatalf("got %v, want q1 cancelled", got)
	}
	got = a.Handle(list, now)
	if len(got) != 2 {
		t.Fatalf("got %v, want x asked for q2", got)
	}
	if c, ok := got[1].(ConfirmRequests); !ok || c.Holder != testHolder("x") || len(c.Requests) != 1 {
		t.Fatalf("got %v, want x asked for q2", got[1])
	}
	got = a.Handle(RequestsNotKnown{Holder: testHolder("x"), Requests: []namer.Request{"q2"}}, now)
	if len(got) != 1 || got[0] != (CancelRequest{Target: "t", Request: "q2", Reason: UnknownToHolder}) {
		t.Fatalf("got %v, want q2 cancelled", got)
	}
}

// Guards against a cold target of which more than a tenth is allocated, that warms up without a fresh load report, or
// that counts as cold again after a few slow prefills that are not consecutive.
func TestWarmUp(t *testing.T) {
	now := testStart
	a := newOwner(now, 1)
	wantWarm := func(want int) {
		t.Helper()
		if got := a.Summary(now).WarmPercent; got != want {
			t.Errorf("got %d%%, want %d%%", got, want)
		}
	}
	wantWarm(100)
	now = now.Add(time.Second)
	a.Handle(RequestsListed{Boot: "b2", Requested: now}, now)
	wantWarm(10)
	before := 10
	for _, want := range []int{20, 40, 80, 100} {
		a.Handle(LoadReported{Boot: "b2"}, now.Add(rampWindow/4))
		now = now.Add(rampWindow)
		a.Handle(PrefillObserved{Boot: "b2", Rate: 10_000}, now)
		wantWarm(before)
		a.Handle(LoadReported{Boot: "b2"}, now)
		wantWarm(want)
		before = want
	}
	for _, rate := range []float64{3_000, 3_000, 10_000, 3_000, 3_000} {
		a.Handle(PrefillObserved{Boot: "b2", Rate: rate}, now)
		wantWarm(100)
	}
	a.Handle(PrefillObserved{Boot: "b2", Rate: 3_000}, now)
	wantWarm(10)
	now = now.Add(rampWindow)
	a.Handle(LoadReported{Boot: "b2"}, now)
	wantWarm(20)
	a.Handle(LoadReported{Boot: "b2", Cold: true}, now)
	wantWarm(10)
}

// Guards against grants after the authority has expired, for example while the process was paused.
func TestAuthorityExpires(t *testing.T) {
	now := testStart
	a := newOwner(now, 1)
	now = now.Add(time.Hour)
	wantQuota(t, a, "x", now, 0)
	wantAnswer(t, ask(a, "q", 10, 10, time.Second, now), refuser.NoTarget)
}

// Guards against a large reservation that waits for idle quotas to expire although smaller ones have replaced them, and
// against missing the use started under a replaced quota while the engine's list does not show it yet.
func TestAdoptedQuotaReplacesEarlierOnes(t *testing.T) {
	now := testStart
	a := newOwner(now, 1)
	a.Handle(QuotaAsked{To: testHolder("x"), Number: 1}, now)
	first := a.recipient(testHolder("x")).charge()
	if got := ask(a, "q", 80_000, 50_000, time.Minute, now); len(got) != 0 {
		t.Fatalf("got %v, want q to wait beside a quota of %d", got, first)
	}
	a.Handle(QuotaAsked{To: testHolder("x"), Number: 2}, now)
	if got := a.recipient(testHolder("x")).charge(); got != first {
		t.Errorf("before adoption: got %d charged, want %d", got, first)
	}
	a.Handle(DemandReported{From: testHolder("x"), UsedTokens: 30_000, Adopted: 2}, now)
	if got := a.recipient(testHolder("x")).charge(); got != 30_000 {
		t.Errorf("after adoption with use: got %d charged, want 30000", got)
	}
	got := a.Handle(DemandReported{From: testHolder("x"), Adopted: 2}, now)
	if len(got) != 0 {
		t.Errorf("use of the first report may not be in the engine's list yet: got %v, want nothing granted", got)
	}
	a.Handle(QuotaAsked{To: testHolder("x"), Number: 3}, now)
	got = a.Handle(DemandReported{From: testHolder("x"), Adopted: 3}, now)
	if len(got) != 1 {
		t.Fatalf("after adoption without use: got %v, want q granted", got)
	}
}
