package allocator

import (
	"fmt"
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// BenchmarkHeartbeat measures the work of one target's owner in one second: demand and quota of each recipient.
func BenchmarkHeartbeat(b *testing.B) {
	now := testStart
	a := newOwner(now, 1)
	holders := make([]namer.Holder, 8)
	for i := range holders {
		holders[i] = testHolder(fmt.Sprint(i))
	}
	b.ReportAllocs()
	for range b.N {
		now = now.Add(time.Second)
		a.Handle(AuthorityGiven{Share: 1, Epoch: 1, Until: now.Add(time.Hour)}, now)
		for i, h := range holders {
			a.Handle(DemandReported{From: h, UsedTokens: i * 1000, WantedTokens: 5000}, now)
			a.Handle(QuotaAsked{To: h}, now)
		}
		a.Handle(RequestsListed{Boot: "b", Requested: now}, now)
	}
}
