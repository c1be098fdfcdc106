package receiver

import (
	"sync"
	"time"

	"bergamothollow.example/bergamothollow/pkg/retrier"
)

// budgetCaution keeps a part of the shared retry budget free, since instances count windows that differ.
const budgetCaution = 0.75

// BudgetSettings bound the further sends that all instances together may make.
type BudgetSettings struct {
	// Ratio is the share of requests within Window, and Extra the sends that are allowed beside it.
	Ratio  float64
	Window time.Duration
	Extra  int
}

// Budget is this instance's part of the retries that all instances together may make; it may be used from any goroutine.
type Budget struct {
	mu     sync.Mutex
	extra  int
	budget *retrier.Budget
}

// NewBudget returns the budget of an instance that knows of no other.
func NewBudget(s BudgetSettings) *Budget {
	return &Budget{
		extra: s.Extra,
		budget: retrier.NewBudget(retrier.Settings{
			BudgetShare:  s.Ratio * budgetCaution,
			BudgetWindow: s.Window,
		}),
	}
}

// Request counts a first send.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Request(now)
}

// Spend takes a further send from the budget, which is divided among the instances.
func (b *Budget) Spend(now time.Time, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.SetMinimum(int(budgetCaution * float64(b.extra) / float64(max(1, instances))))
	return b.budget.Spend(now)
}
