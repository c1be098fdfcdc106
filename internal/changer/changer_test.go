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

// eager is a clock that never waits.
type eager struct {
	timer.System
}

func (eager) After(time.Duration) <-chan time.Time {
	return timer.System{}.After(0)
}

// shouldBe asserts the type of an error; an empty want means success.
func shouldBe(err error, want string) {
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

// Guards against a wrong report of whether a change took effect.
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
		{"store down after a lost answer", keeper.Faults{LoseAnswers: 1, DownAfter: 1}, "", `"mine"`, "unknown"},
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
			store.Order(test.faults)
			_, err := Changer{
				Store: store,
				Clock: eager{},
			}.Apply(context.Background(), Write{
				Kind:    storer.KindTarget,
				Name:    "a",
				Version: base,
				Value:   "mine",
			})
			shouldBe(err, test.wantErr)
			store.Order(keeper.Faults{})
			object, err := store.Get(context.Background(), storer.KindTarget, "a")
			So(err, ShouldBeNil)
			So(string(object.Value), ShouldEqual, test.want)
		})
	}
}
