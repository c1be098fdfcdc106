package retrier

import "time"

// Settings are the constants of retries.
type Settings struct {
	// BudgetShare is the share of recent requests that may be retries.
	BudgetShare float64
	// BudgetWindow is the time over which requests and retries are counted.
	BudgetWindow time.Duration
	// BudgetMinimum is the number of retries always allowed in a window: at a small site the loss of
	// one engine breaks more of an instance's streams than a tenth of its requests in the window.
	BudgetMinimum int
	// SilenceMinimum and SilenceFactor bound how long a stream may be silent.
	SilenceMinimum time.Duration
	SilenceFactor  float64
}

// DefaultSettings returns the settings of the design.
func DefaultSettings() Settings {
	return Settings{
		BudgetShare:    0.1,
		BudgetWindow:   10 * time.Second,
		BudgetMinimum:  16,
		SilenceMinimum: 2 * time.Second,
		SilenceFactor:  3,
	}
}

// slots is the number of parts of the window; the oldest part is dropped as a whole.
const slots = 10

// Budget counts requests and retries over the window.
type Budget struct {
	settings Settings
	requests [slots]int
	retries  [slots]int
	// current is the number of the newest slot since the zero time.
	current int64
}

// NewBudget returns an empty budget.
func NewBudget(settings Settings) *Budget {
	return &Budget{
		settings: settings,
	}
}

// SetMinimum replaces the number of retries that are always allowed.
func (b *Budget) SetMinimum(retries int) {
	b.settings.BudgetMinimum = retries
}

// Request counts a first attempt.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.requests[b.current%slots]++
}

// Spend takes one retry from the budget and reports whether there was one.
func (b *Budget) Spend(now time.Time) bool {
	b.advance(now)
	requests, retries := 0, 0
	for i := range slots {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	allowed := max(int(b.settings.BudgetShare*float64(requests)), b.settings.BudgetMinimum)
	if retries >= allowed {
		return false
	}
	b.retries[b.current%slots]++
	return true
}

func (b *Budget) advance(now time.Time) {
	slot := now.UnixNano() / int64(b.settings.BudgetWindow/slots)
	if slot-b.current > slots {
		b.current = slot - slots
	}
	for b.current < slot {
		b.current++
		b.requests[b.current%slots] = 0
		b.retries[b.current%slots] = 0
	}
}
