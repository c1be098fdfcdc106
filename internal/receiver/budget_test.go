package receiver

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against more retries than the common budget allows, summed over instances that count independently. It was exceeded by a
// burst of rejections at 83 instances, when each instance had a fixed sixteenth of the extra retries.
func TestBudgetOverAllInstances(t *testing.T) {
	for _, instances := range []int{1, 8, 83, 300} {
		now := time.Unix(1_000, 0)
		const extra, requests = 240, 1000
		spent := 0
		for range instances {
			b := NewBudget(BudgetSettings{
				Ratio:  0.2,
				Window: 10 * time.Second,
				Extra:  extra,
			})
			for range requests / instances {
				b.CountRequest(now)
			}
			for b.TryRetry(now, instances) && spent < 10*requests {
				spent++
			}
		}
		if allowed := requests/5 + extra; spent > allowed {
			t.Errorf("%d instances spent %d retries, %d are allowed", instances, spent, allowed)
		}
		if spent == 0 && instances < 100 {
			t.Errorf("%d instances may never retry", instances)
		}
	}
}

// Guards against data races in the budget under concurrent requests; run with -race.
func TestBudgetFromManyGoroutines(t *testing.T) {
	b := NewBudget(BudgetSettings{
		Ratio:  0.2,
		Window: time.Second,
		Extra:  100,
	})
	const callers, requests = 8, 1000
	var all sync.WaitGroup
	var spent atomic.Int64
	for range callers {
		all.Go(func() {
			for i := range requests {
				now := time.Unix(1_000, int64(i)*100_000)
				b.CountRequest(now)
				if b.TryRetry(now, 8) {
					spent.Add(1)
				}
			}
		})
	}
	all.Wait()
	if allowed := int64(callers*requests/5 + 100); spent.Load() > allowed {
		t.Errorf("%d retries, %d are allowed", spent.Load(), allowed)
	}
}
