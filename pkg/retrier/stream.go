package retrier

import (
	"fmt"
	"time"

	"bergamothollow.example/bergamothollow/pkg/refuser"
)

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

// Resume asks for another attempt at the next token index, if the budget has a retry left.
type Resume struct {
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
	deadline time.Time
	from     int
	until    int
	next     int
	attempt  string
	past     map[string]bool
	progress time.Time
	expected time.Duration
	ran      refuser.Ran
	ended    bool
}

// NewStream returns the stream of an admitted request whose caller needs the tokens from one index until before another.
func NewStream(settings Settings, deadline time.Time, from, until int) *Stream {
	return &Stream{
		settings: settings,
		deadline: deadline,
		from:     from,
		until:    until,
		next:     from,
		past:     map[string]bool{},
		ran:      refuser.RanNo,
	}
}

// Begin starts an attempt whose first token is predicted after a time; earlier attempts count as late from now on.
func (s *Stream) Begin(now time.Time, attempt string, firstToken time.Duration) {
	if s.attempt != "" {
		s.past[s.attempt] = true
	}
	s.attempt = attempt
	s.progress = now
	s.expected = firstToken
}

// NextIndex returns the index of the next token to deliver.
func (s *Stream) NextIndex() int {
	return s.next
}

// Ran tells whether a target may have worked on the request.
func (s *Stream) Ran() refuser.Ran {
	return s.ran
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
	s.ran = refuser.RanYes
	return Deliver{
		Index: index,
	}
}

// Written notes that the caller has taken a token: until then its engine could not show progress.
func (s *Stream) Written(now time.Time) {
	s.progress = now
}

// check returns why an event of an attempt is to be dropped, or an empty string.
func (s *Stream) check(attempt string) Drop {
	switch {
	case s.ended:
		return DropEnded
	case attempt == s.attempt:
		return ""
	case s.past[attempt]:
		return DropLateAttempt
	default:
		return DropOtherRequest
	}
}

// Done takes the end of an attempt's stream; one that ends before the last token has failed.
func (s *Stream) Done(now time.Time, attempt string) Action {
	if drop := s.check(attempt); drop != "" {
		return Ignore{
			Reason: drop,
		}
	}
	if s.next < s.until {
		return s.Fail(now, attempt, refuser.StreamBroken)
	}
	s.ended = true
	return End{}
}

// SilentAt returns when the current attempt counts as unresponsive.
func (s *Stream) SilentAt() time.Time {
	limit := time.Duration(s.settings.SilenceFactor * float64(s.expected))
	return s.progress.Add(max(s.settings.SilenceMinimum, limit))
}

// Fail takes the failure of an attempt. A stream resumes while time remains.
func (s *Stream) Fail(now time.Time, attempt string, reason refuser.RetryReason) Action {
	if drop := s.check(attempt); drop != "" {
		return Ignore{
			Reason: drop,
		}
	}
	if s.ran == refuser.RanNo && mayHaveRun(reason) {
		s.ran = refuser.RanUnknown
	}
	remaining := s.deadline.Sub(now)
	if remaining <= 0 {
		s.ended = true
		return End{
			Refusal: &refuser.Refusal{
				Reason:  refuser.DeadlineExceeded,
				Ran:     s.ran,
				Message: fmt.Sprintf("the deadline passed after %d tokens: allow more time or ask for fewer tokens", s.next-s.from),
			},
		}
	}
	return Resume{
		NextIndex: s.next,
		Remaining: remaining,
		Reason:    reason,
	}
}

// mayHaveRun reports whether the target of a failed attempt may have worked on it: not if no connection was opened, or if it
// refused the attempt.
func mayHaveRun(reason refuser.RetryReason) bool {
	return reason != refuser.ConnectFailed && reason != refuser.TargetRefused
}
