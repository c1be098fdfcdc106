package receiver

import (
	"sync"
	"time"

	"bergamothollow.example/bergamothollow/pkg/retrier"
)

// budgetSafetyFactor is the share of the common retry budget that is used; the rest is a margin, since the instances' windows are
// not aligned.
const budgetSafetyFactor = 0.75

// BudgetSettings bound the retries of all instances together.
type BudgetSettings struct {
	// Ratio is the allowed retries per request within Window; Extra retries are allowed in addition.
	Ratio  float64
	Window time.Duration
	Extra  int
}

// Budget is this instance's part of the common retry budget; it is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	extra  int
	budget *retrier.Budget
}

// NewBudget returns a budget without any requests counted.
func NewBudget(s BudgetSettings) *Budget {
	return &Budget{
		extra: s.Extra,
		budget: retrier.NewBudget(retrier.Settings{
			BudgetShare:  s.Ratio * budgetSafetyFactor,
			BudgetWindow: s.Window,
		}),
	}
}

// CountRequest counts a new request, which adds to the budget.
func (b *Budget) CountRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.CountRequest(now)
}

// TryRetry takes a retry from the budget; it reports false if the budget is spent. Extra is divided among the instances.
func (b *Budget) TryRetry(now time.Time, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.SetMinimum(int(budgetSafetyFactor * float64(b.extra) / float64(max(1, instances))))
	return b.budget.TryRetry(now)
}
