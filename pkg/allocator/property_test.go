package allocator

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// drawEvent draws a random event for one of a few holders and requests.
func drawEvent(t *rapid.T, now time.Time) Event {
	holder := testHolder(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "holder"))
	request := namer.Request(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "request")))
	tokens := rapid.IntRange(0, 60_000).Draw(t, "tokens")
	boot := rapid.SampledFrom([]string{"b", "b", "b", "c"}).Draw(t, "boot")
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0:
		return AuthorityGiven{
			Share: rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "share"),
			Epoch: namer.Epoch(1 + tokens%3),
			Until: now.Add(time.Duration(tokens) * time.Millisecond),
		}
	case 1:
		return DemandReported{From: holder, UsedTokens: tokens, WantedTokens: tokens}
	case 2, 3, 4:
		return QuotaAsked{To: holder}
	case 5, 6:
		return ReserveAsked{From: holder, Request: request, Tokens: tokens, PrefillTokens: tokens * 2, Wait: time.Second}
	case 7:
		return Released{From: holder, Request: request}
	case 8:
		return PrefillObserved{Boot: boot, Rate: float64(tokens)}
	}
	listed := RequestsListed{Boot: boot, Requested: now}
	for i := range rapid.IntRange(0, 5).Draw(t, "listed") {
		listed.Requests = append(listed.Requests, RunningRequest{
			Request:        namer.Request(fmt.Sprint(i)),
			Holder:         holder,
			Epoch:          namer.Epoch(1 + i%4),
			ReservedTokens: tokens / 5,
		})
	}
	return listed
}

func allocated(a *Allocator) int {
	quotas, reservations := a.charges()
	return quotas + reservations
}

// TestGrantsStayWithinAuthority guards against an order of events after which a grant raises the sum of quotas,
// reservations and foreign use above authority × usable memory × ramp, or allows a second long prefill.
func TestGrantsStayWithinAuthority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := testStart
		a := newOwner(now, 1)
		for range rapid.IntRange(1, 50).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			before := allocated(a)
			for _, action := range a.Handle(drawEvent(t, now), now) {
				after := allocated(a)
				allowed := a.limit()
				switch v := action.(type) {
				case GrantQuota:
					if v.MemoryTokens > allowed {
						t.Fatalf("%#v above the limit of %d", v, allowed)
					}
					allowed = max(allowed, before)
				case GrantReservation:
				default:
					continue
				}
				if after > allowed || allowed == a.limit() && after+a.foreignTokens > a.warmTokens() {
					t.Fatalf("%#v brings the sum from %d to %d, others hold %d, limit %d", action, before, after, a.foreignTokens, a.limit())
				}
				if a.longPrefills() > 1 {
					t.Fatalf("%d long prefills", a.longPrefills())
				}
			}
		}
	})
}
