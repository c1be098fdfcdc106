package retrier

import (
	"fmt"
	"time"

	"bergamothollow.example/bergamothollow/pkg/refuser"
)

// Drop is the reason for which an event of a stream is not delivered.
type Drop string

// The reasons of dropped events.
const (
	DropLateAttempt  Drop = "late_attempt"
	DropOtherRequest Drop = "other_request"
	DropRepeated     Drop = "repeated_index"
	DropGap          Drop = "index_gap"
	DropEnded        Drop = "ended"
)

// Action is the response to an event of a stream: Deliver, Ignore, Resume or End.
type Action interface {
	action()
}

// Deliver passes the token to the caller.
type Deliver struct {
	Index int
}

// Ignore drops the event; the caller counts it by its reason.
type Ignore struct {
	Reason Drop
}

// Resume requests another attempt from the token NextIndex, if the retry budget allows it.
type Resume struct {
	NextIndex int
	Remaining time.Duration
	Reason    refuser.RetryReason
}

// End ends the stream; a nil Refusal means that the answer is complete.
type End struct {
	Refusal *refuser.Refusal
}

func (Deliver) action() {}
func (Ignore) action()  {}
func (Resume) action()  {}
func (End) action()     {}

// Stream is the state of one request over all its attempts.
type Stream struct {
	settings Settings
	deadline time.Time
	// first, end and next are token indexes: the first needed, the one after the last needed, and the next to deliver.
	first int
	end   int
	next  int
	// attempt is the id of the current attempt, and earlier holds the ids of those before it.
	attempt string
	earlier map[string]bool
	// lastProgress is when the attempt began, or when a token was last received or written to the caller.
	lastProgress time.Time
	// expectedWait is the predicted time from the last token, or the beginning, to the next token.
	expectedWait time.Duration
	ran          refuser.Ran
	ended        bool
}

// NewStream returns the stream of an admitted request whose caller needs the tokens with an index from first to before end.
func NewStream(settings Settings, deadline time.Time, first, end int) *Stream {
	return &Stream{
		settings: settings,
		deadline: deadline,
		first:    first,
		end:      end,
		next:     first,
		earlier:  map[string]bool{},
		ran:      refuser.RanNo,
	}
}

// Begin starts an attempt; firstToken is the predicted time to its first token. Events of earlier attempts are dropped from
// then on.
func (s *Stream) Begin(now time.Time, attempt string, firstToken time.Duration) {
	if s.attempt != "" {
		s.earlier[s.attempt] = true
	}
	s.attempt = attempt
	s.lastProgress = now
	s.expectedWait = firstToken
}

// NextIndex returns the index of the next token to deliver.
func (s *Stream) NextIndex() int {
	return s.next
}

// Ran reports whether a target ran the request.
func (s *Stream) Ran() refuser.Ran {
	return s.ran
}

// Token handles a token event; interval is the predicted time to the next token.
func (s *Stream) Token(now time.Time, attempt string, index int, interval time.Duration) Action {
	if drop := s.dropReason(attempt); drop != "" {
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
		// A missing token doesn't arrive later; the silence timeout resumes the stream at the gap.
		return Ignore{
			Reason: DropGap,
		}
	}
	s.next++
	s.lastProgress = now
	s.expectedWait = interval
	s.ran = refuser.RanYes
	return Deliver{
		Index: index,
	}
}

// RecordWrite restarts the silence timeout after a token was written to the caller, because a caller that reads slowly
// also holds up its engine.
func (s *Stream) RecordWrite(now time.Time) {
	s.lastProgress = now
}

// dropReason returns the reason to drop an event of an attempt, or an empty string.
func (s *Stream) dropReason(attempt string) Drop {
	switch {
	case s.ended:
		return DropEnded
	case attempt == s.attempt:
		return ""
	case s.earlier[attempt]:
		return DropLateAttempt
	default:
		return DropOtherRequest
	}
}

// Done handles the end of an attempt's stream; an attempt that ends before its last token has failed.
func (s *Stream) Done(now time.Time, attempt string) Action {
	if drop := s.dropReason(attempt); drop != "" {
		return Ignore{
			Reason: drop,
		}
	}
	if s.next < s.end {
		return s.Fail(now, attempt, refuser.StreamBroken)
	}
	s.ended = true
	return End{}
}

// SilenceDeadline returns the time from which the current attempt counts as unresponsive.
func (s *Stream) SilenceDeadline() time.Time {
	limit := time.Duration(s.settings.SilenceFactor * float64(s.expectedWait))
	return s.lastProgress.Add(max(s.settings.SilenceMinimum, limit))
}

// Fail handles the failure of an attempt. The stream resumes unless its deadline has passed.
func (s *Stream) Fail(now time.Time, attempt string, reason refuser.RetryReason) Action {
	if drop := s.dropReason(attempt); drop != "" {
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
				Message: fmt.Sprintf("the deadline passed after %d tokens: allow more time or ask for fewer tokens", s.next-s.first),
			},
		}
	}
	return Resume{
		NextIndex: s.next,
		Remaining: remaining,
		Reason:    reason,
	}
}

// mayHaveRun reports whether the target may have run a failed attempt: it has not if the connection failed or it refused the
// attempt.
func mayHaveRun(reason refuser.RetryReason) bool {
	return reason != refuser.ConnectFailed && reason != refuser.TargetRefused
}
