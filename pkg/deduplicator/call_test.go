package deduplicator

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamothollow.example/bergamothollow/pkg/limiter"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

var (
	start = time.Unix(1000, 0)
	own   = namer.Holder{
		Instance:    "pier-1",
		Incarnation: "a",
	}
	other = namer.Holder{
		Instance:    "pier-2",
		Incarnation: "b",
	}
)

func newTestCall() *Call {
	return NewCall(Request{
		Name:     "customer.1",
		Digest:   "d1",
		Deadline: start.Add(10 * time.Second),
		Holder:   own,
		Attempt:  7,
	})
}

func storedRecord(state State, holder namer.Holder, digest string) Record {
	r := Record{
		State:   state,
		Holder:  holder,
		Attempt: 7,
		Digest:  digest,
	}
	if state == StateDone {
		r.Outcome = &Outcome{
			Status: 200,
			Body:   []byte("paid"),
		}
	}
	return r
}

// lastAnswer applies events one second apart and returns the answer, if any, and whether the call was sent.
func lastAnswer(c *Call, events ...Event) (answer *Answer, sent bool) {
	now := start
	for _, e := range append([]Event{Arrive{}}, events...) {
		for _, a := range c.Step(e, now) {
			switch a := a.(type) {
			case Answer:
				answer = &a
			case Send:
				sent = true
			}
		}
		now = now.Add(time.Second)
	}
	return answer, sent
}

// Guards against a wrong answer for any state of the stored record, result of its write or result of the send.
func TestAnswersByRecord(t *testing.T) {
	exists := func(r Record) Event {
		return Conflict{
			Exists:  true,
			Version: 4,
			Record:  r,
		}
	}
	readResult := func(r Record) Event {
		return ReadResult{
			Exists:  true,
			Version: 4,
			Record:  r,
		}
	}
	for _, c := range []struct {
		name       string
		events     []Event
		wantReason refuser.Reason
		wantRan    refuser.Ran
		wantSent   bool
	}{
		{"store refuses", []Event{WriteRefused{}}, refuser.StoreUnavailable, refuser.RanNo, false},
		{"lost, read back ours", []Event{WriteUncertain{}, readResult(storedRecord(StateStarted, own, "d1")), Answered{}}, "", "", true},
		{"lost, unreadable", []Event{WriteUncertain{}, ReadFailed{}}, refuser.StoreUnavailable, refuser.RanNo, false},
		{"done", []Event{exists(storedRecord(StateDone, other, "d1"))}, "", "", false},
		{"other digest", []Event{exists(storedRecord(StateDone, other, "d2"))}, refuser.KeyReused, refuser.RanNo, false},
		{"started by another", []Event{exists(storedRecord(StateStarted, other, "d1"))}, refuser.OutcomeUnknown, refuser.RanUnknown, false},
		{"not run, claimed again", []Event{exists(storedRecord(StateNotRun, other, "d1")), Written{}, Answered{}}, "", "", true},
		{"sent, answer lost", []Event{Written{}, SendFailed{}}, refuser.OutcomeUnknown, refuser.RanUnknown, true},
		{"no connection", []Event{Written{}, NotSent{}, Written{}}, refuser.TargetFailed, refuser.RanNo, true},
		{"no connection, update lost", []Event{Written{}, NotSent{}, WriteUncertain{}}, refuser.TargetFailed, refuser.RanNo, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			answer, sent := lastAnswer(newTestCall(), c.events...)
			convey.Convey(c.name, t, func() {
				convey.So(answer, convey.ShouldNotBeNil)
				convey.So(sent, convey.ShouldEqual, c.wantSent)
				if c.wantReason == "" {
					convey.So(answer.Refusal, convey.ShouldBeNil)
					return
				}
				convey.So(answer.Refusal.Reason, convey.ShouldEqual, c.wantReason)
				convey.So(answer.Refusal.Ran, convey.ShouldEqual, c.wantRan)
			})
		})
	}
}

// Guards against a call that is sent after its process was paused past the deadline.
func TestPausePastDeadlineIsNotSent(t *testing.T) {
	c := newTestCall()
	c.Step(Arrive{}, start)
	actions := c.Step(Written{Version: 3}, start.Add(time.Minute))
	convey.Convey("the caller gets a refusal and the record has state not_run", t, func() {
		convey.So(actions, convey.ShouldHaveLength, 2)
		convey.So(actions[0].(Answer).Refusal.Ran, convey.ShouldEqual, refuser.RanNo)
		convey.So(actions[1].(Update).Record.State, convey.ShouldEqual, StateNotRun)
	})
}

// Guards against a record that exceeds the store's limit on values because of a large response body.
func TestLargeOutcomeIsNotKept(t *testing.T) {
	c := newTestCall()
	c.Step(Arrive{}, start)
	c.Step(Written{Version: 3}, start)
	actions := c.Step(Answered{Outcome: Outcome{Body: make([]byte, MaxBodyBytes+1)}}, start)
	convey.Convey("the caller gets the body, and the record is stored without it", t, func() {
		convey.So(actions[0].(Answer).Outcome.Body, convey.ShouldHaveLength, MaxBodyBytes+1)
		convey.So(actions[1].(Update).Record.Outcome.Body, convey.ShouldBeEmpty)
		convey.So(actions[1].(Update).Record.Outcome.BodyDropped, convey.ShouldBeTrue)
	})
}

// Guards against records that are removed before their retention of one day ends, and against deletes beyond the rate.
func TestSweeperRemovesOldRecordsAtItsRate(t *testing.T) {
	settings := DefaultSweeperSettings()
	s := NewSweeper(settings, limiter.NewBucket(1, 2, start), start)
	now := start.Add(settings.Interval)
	page := make([]Stored, 0, 5)
	for i := range 5 {
		age := settings.Retention
		if i == 0 {
			age -= time.Second
		}
		page = append(page, Stored{
			Name:    string(rune('a' + i)),
			Version: int64(i),
			Record: Record{
				Deadline: now.Add(-age),
			},
		})
	}
	convey.Convey("a burst of two, then one per second", t, func() {
		convey.So(s.Tick(now), convey.ShouldResemble, []Action{ListPage{Limit: settings.PageSize}})
		first := s.ObservePage(page, now)
		convey.So(first, convey.ShouldResemble, []Action{Delete{Name: "b", Version: 1}, Delete{Name: "c", Version: 2}})
		convey.So(s.Tick(now), convey.ShouldBeEmpty)
		convey.So(s.Tick(now.Add(time.Second)), convey.ShouldHaveLength, 1)
		convey.So(s.Tick(now.Add(2*time.Second)), convey.ShouldHaveLength, 1)
		convey.So(s.Tick(now.Add(3*time.Second)), convey.ShouldBeEmpty)
	})
}
