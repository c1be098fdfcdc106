package retrier

import "time"

// Settings configure the retry budget and the silence timeout.
type Settings struct {
	// BudgetShare is the maximum ratio of retries to requests within the window.
	BudgetShare float64
	// BudgetWindow is the sliding window in which requests and retries are counted.
	BudgetWindow time.Duration
	// BudgetMinimum is the number of retries always allowed within the window: at a small site, the loss of one
	// engine breaks more of an instance's streams than BudgetShare allows to retry.
	BudgetMinimum int
	// A stream counts as unresponsive after SilenceFactor times the predicted time to its next token, but not before
	// SilenceMinimum.
	SilenceMinimum time.Duration
	SilenceFactor  float64
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		BudgetShare:    0.1,
		BudgetWindow:   10 * time.Second,
		BudgetMinimum:  16,
		SilenceMinimum: 2 * time.Second,
		SilenceFactor:  3,
	}
}

// slotCount is the number of slots of the window; counts expire by whole slots.
const slotCount = 10

// Budget limits retries to a share of the requests in a sliding window.
type Budget struct {
	settings Settings
	requests [slotCount]int
	retries  [slotCount]int
	// current is the number of the newest slot, counted from the Unix epoch.
	current int64
}

// NewBudget returns an empty budget.
func NewBudget(settings Settings) *Budget {
	return &Budget{
		settings: settings,
	}
}

// SetMinimum replaces BudgetMinimum.
func (b *Budget) SetMinimum(retries int) {
	b.settings.BudgetMinimum = retries
}

// CountRequest counts a first attempt.
func (b *Budget) CountRequest(now time.Time) {
	b.advance(now)
	b.requests[b.current%slotCount]++
}

// TryRetry takes a retry from the budget and reports whether the budget had one.
func (b *Budget) TryRetry(now time.Time) bool {
	b.advance(now)
	requests, retries := 0, 0
	for i := range slotCount {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	allowed := max(int(b.settings.BudgetShare*float64(requests)), b.settings.BudgetMinimum)
	if retries >= allowed {
		return false
	}
	b.retries[b.current%slotCount]++
	return true
}

// advance clears the slots that have begun since the last call.
func (b *Budget) advance(now time.Time) {
	newest := now.UnixNano() / int64(b.settings.BudgetWindow/slotCount)
	if newest-b.current > slotCount {
		b.current = newest - slotCount
	}
	for b.current < newest {
		b.current++
		b.requests[b.current%slotCount] = 0
		b.retries[b.current%slotCount] = 0
	}
}
