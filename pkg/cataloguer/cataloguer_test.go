package cataloguer

import (
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

var start = time.Unix(1_000, 0)

func newFixture() *Cataloguer {
	c := New(Settings{
		Return: 2 * time.Second,
	})
	for _, id := range []namer.Target{"a", "b"} {
		c.Put(Target{
			ID:         id,
			DataCentre: "pier",
		})
	}
	return c
}

func assertUsable(t *testing.T, c *Cataloguer, id namer.Target, want bool) {
	t.Helper()
	if got := c.Catalogue().Usable(id); got != want {
		t.Errorf("target %s usable: %t, want %t", id, got, want)
	}
}

// Guards against work that is sent to targets that have left or are leaving.
func TestLeavingTargets(t *testing.T) {
	c := newFixture()
	c.Put(Target{
		ID:      "a",
		Leaving: true,
	})
	assertUsable(t, c, "a", false)
	c.Remove(start, "b")
	assertUsable(t, c, "b", false)
}

// Guards against a service without targets after an outage of the store in which all entries lapsed (platform_down, lapse).
func TestEntriesThatLapsedInAnOutage(t *testing.T) {
	c := newFixture()
	c.SetStore(start, false)
	c.Remove(start, "a")
	assertUsable(t, c, "a", true)
	back := start.Add(10 * time.Second)
	c.SetStore(back, true)
	c.Remove(back, "b")
	c.Tick(back.Add(time.Second))
	assertUsable(t, c, "a", true)
	assertUsable(t, c, "b", true)
	c.Put(Target{
		ID: "b",
	})
	c.Tick(back.Add(3 * time.Second))
	assertUsable(t, c, "a", false)
	assertUsable(t, c, "b", true)
}

// Guards against a target that said it would leave before an outage being kept through it.
func TestLeavingTargetIsNotKept(t *testing.T) {
	c := newFixture()
	c.Put(Target{
		ID:      "a",
		Leaving: true,
	})
	c.SetStore(start, false)
	c.Remove(start, "a")
	if _, known := c.Catalogue().Targets["a"]; known {
		t.Error("the leaving target is still listed")
	}
}

// Guards against work in a data centre that operators have taken out, and against one that stays out.
func TestEvacuation(t *testing.T) {
	c := newFixture()
	c.Evacuate("pier", true)
	assertUsable(t, c, "a", false)
	c.Evacuate("pier", false)
	assertUsable(t, c, "a", true)
}
