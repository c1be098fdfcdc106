package changer

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"bergamothollow.example/bergamothollow/internal/emulator/keeper"
	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/timer"
)

// immediateClock is a clock whose timers fire at once.
type immediateClock struct {
	timer.System
}

func (immediateClock) After(time.Duration) <-chan time.Time {
	return timer.System{}.After(0)
}

// assertError asserts the type of an error; an empty want means success.
func assertError(err error, want string) {
	var conflict *ConflictError
	var unknown *UnknownOutcomeError
	var throttled *storer.ThrottledError
	got := ""
	switch {
	case errors.As(err, &conflict) && conflict.AnswerLost:
		got = "conflict after a lost answer"
	case errors.As(err, &conflict):
		got = "conflict"
	case errors.As(err, &unknown):
		got = "unknown"
	case errors.As(err, &throttled):
		got = "throttled"
	case err != nil:
		got = err.Error()
	}
	So(got, ShouldEqual, want)
}

// Guards against reporting wrongly whether a change took effect when a write or its response is lost, the store is down or
// throttles, or another operator writes first.
func TestApply(t *testing.T) {
	tests := []struct {
		name    string
		faults  keeper.Faults
		other   string
		want    string
		wantErr string
	}{
		{"written", keeper.Faults{}, "", `"mine"`, ""},
		{"answer lost", keeper.Faults{LoseAnswers: 1}, "", `"mine"`, ""},
		{"write lost and repeated", keeper.Faults{LoseWrites: 1}, "", `"mine"`, ""},
		{"store down after a lost answer", keeper.Faults{LoseAnswers: 1, DownAfterWrites: 1}, "", `"mine"`, "unknown"},
		{"other operator first", keeper.Faults{}, "theirs", `"theirs"`, "conflict"},
		{"other operator first and write lost", keeper.Faults{LoseWrites: 1}, "theirs", `"theirs"`, "conflict after a lost answer"},
		{"other operator made the same change", keeper.Faults{}, "mine", `"mine"`, "conflict"},
		{"throttled once", keeper.Faults{Throttle: 1}, "", `"mine"`, ""},
		{"always throttled", keeper.Faults{Throttle: 100}, "", `"base"`, "throttled"},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			store := keeper.New()
			base := store.Put(storer.KindTarget, "a", "base")
			if test.other != "" {
				test.faults.BeforeWrite = func() { store.Put(storer.KindTarget, "a", test.other) }
			}
			store.SetFaults(test.faults)
			_, err := Changer{
				Store: store,
				Clock: immediateClock{},
			}.Apply(context.Background(), Write{
				Kind:    storer.KindTarget,
				Name:    "a",
				Version: base,
				Value:   "mine",
			})
			assertError(err, test.wantErr)
			store.SetFaults(keeper.Faults{})
			object, err := store.Get(context.Background(), storer.KindTarget, "a")
			So(err, ShouldBeNil)
			So(string(object.Value), ShouldEqual, test.want)
		})
	}
}
