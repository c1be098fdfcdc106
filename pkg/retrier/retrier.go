package retrier

import (
	"fmt"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

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

// Drop is why an event of a stream is not delivered.
type Drop string

// The reasons of dropped events.
const (
	DropLateAttempt  Drop = "late_attempt"
	DropOtherRequest Drop = "other_request"
	DropRepeated     Drop = "repeated_index"
	DropGap          Drop = "index_gap"
	DropEnded        Drop = "ended"
)

// Action is the result of an event: Deliver, Ignore, Resume or End.
type Action interface {
	action()
}

// Deliver passes the token to the caller.
type Deliver struct {
	Index int
}

// Ignore drops the event, to be counted under its reason.
type Ignore struct {
	Reason Drop
}

// Resume starts another attempt at the next token index.
type Resume struct {
	Attempt string
	// Cancel names the attempt to cancel on a new connection.
	Cancel    string
	Exclude   []namer.Target
	NextIndex int
	Remaining time.Duration
	Reason    refuser.RetryReason
}

// End finishes the stream; a nil refusal means that the answer is complete.
type End struct {
	Refusal *refuser.Refusal
}

func (Deliver) action() {}
func (Ignore) action()  {}
func (Resume) action()  {}
func (End) action()     {}

// Stream follows one request over its attempts.
type Stream struct {
	settings Settings
	budget   *Budget
	request  namer.Request
	deadline time.Time
	attempt  int
	next     int
	progress time.Time
	expected time.Duration
	exclude  []namer.Target
	ended    bool
}

// NewStream returns the stream of an admitted request.
func NewStream(settings Settings, budget *Budget, request namer.Request, deadline time.Time) *Stream {
	return &Stream{
		settings: settings,
		budget:   budget,
		request:  request,
		deadline: deadline,
	}
}

// Attempt returns the id of the current attempt.
func (s *Stream) Attempt() string {
	return AttemptID(s.request, s.attempt)
}

// AttemptID returns the id of an attempt, <request>.<attempt>.
func AttemptID(request namer.Request, attempt int) string {
	return fmt.Sprintf("%s.%d", request, attempt)
}

// NextIndex returns the index of the next token to deliver.
func (s *Stream) NextIndex() int {
	return s.next
}

// Sent records that the current attempt was sent and when its first token is predicted.
func (s *Stream) Sent(now time.Time, firstToken time.Duration) {
	if s.attempt == 0 && s.next == 0 {
		s.budget.Request(now)
	}
	s.progress = now
	s.expected = firstToken
}

// Token takes a token event; interval is the predicted time to the next one.
func (s *Stream) Token(now time.Time, attempt string, index int, interval time.Duration) Action {
	if drop := s.check(attempt); drop != "" {
		return Ignore{
			Reason: drop,
		}
	}
	if index < s.next {
		return Ignore{
			Reason: DropRepeated,
		}
	}
	if index > s.next {
		// A missing token can't be filled in later: the silence timeout then resumes at the gap.
		return Ignore{
			Reason: DropGap,
		}
	}
	s.next++
	s.progress = now
	s.expected = interval
	return Deliver{
		Index: index,
	}
}

// check returns why an event of an attempt is to be dropped, or an empty string.
func (s *Stream) check(attempt string) Drop {
	switch {
	case s.ended:
		return DropEnded
	case attempt == s.Attempt():
		return ""
	}
	for older := range s.attempt {
		if attempt == AttemptID(s.request, older) {
			return DropLateAttempt
		}
	}
	return DropOtherRequest
}

// Done takes the end of an attempt's stream.
func (s *Stream) Done(attempt string) Action {
	if drop := s.check(attempt); drop != "" {
		return Ignore{
			Reason: drop,
		}
	}
	s.ended = true
	return End{}
}

// SilentAt returns when the current attempt counts as unresponsive.
func (s *Stream) SilentAt() time.Time {
	limit := time.Duration(s.settings.SilenceFactor * float64(s.expected))
	return s.progress.Add(max(s.settings.SilenceMinimum, limit))
}

// Tick ends the stream at its deadline and resumes it when the attempt is unresponsive; it returns
// nil when there is nothing to do.
func (s *Stream) Tick(now time.Time, target namer.Target, needed time.Duration) Action {
	switch {
	case s.ended:
		return nil
	case !now.Before(s.deadline):
		return s.end(refuser.DeadlineExceeded, "the deadline passed: allow more time or ask for fewer tokens")
	case now.Before(s.SilentAt()):
		return nil
	}
	return s.Fail(now, s.Attempt(), target, refuser.StreamSilent, needed)
}

// Fail takes the failure of an attempt on a target; needed is the predicted time to finish
// elsewhere. A stream resumes while time remains and the budget allows it.
func (s *Stream) Fail(now time.Time, attempt string, target namer.Target, reason refuser.RetryReason,
	needed time.Duration,
) Action {
	if drop := s.check(attempt); drop != "" {
		return Ignore{
			Reason: drop,
		}
	}
	remaining := s.deadline.Sub(now)
	switch {
	case remaining <= 0 || needed > remaining:
		return s.end(refuser.DeadlineExceeded, "the target failed and too little time remains to resume: send again")
	case !s.budget.Spend(now):
		return s.end(refuser.RetryBudgetSpent, "the target failed and too many streams were resumed recently: send again later")
	}
	s.exclude = append(s.exclude, target)
	s.attempt++
	s.progress = now
	return Resume{
		Attempt:   s.Attempt(),
		Cancel:    attempt,
		Exclude:   s.exclude,
		NextIndex: s.next,
		Remaining: remaining,
		Reason:    reason,
	}
}

func (s *Stream) end(reason refuser.Reason, message string) Action {
	s.ended = true
	return End{
		Refusal: &refuser.Refusal{
			Reason:  reason,
			Ran:     refuser.RanYes,
			Message: message,
		},
	}
}
