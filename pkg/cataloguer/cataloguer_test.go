package cataloguer

import (
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

var start = time.Unix(1_000, 0)

func newFixture() *Cataloguer {
	c := New(Settings{
		ReregistrationTime: 2 * time.Second,
		EvacuationTime:     10 * time.Second,
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

// Guards against new work for targets that have left or are leaving.
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

// Guards against a service without targets after an outage of the store in which all entries expired (scenarios
// platform_down and lapse).
func TestEntriesExpiredDuringOutage(t *testing.T) {
	c := newFixture()
	c.SetStoreAvailable(start, false)
	c.Remove(start, "a")
	assertUsable(t, c, "a", true)
	back := start.Add(10 * time.Second)
	c.SetStoreAvailable(back, true)
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

// Guards against keeping a target through an outage although it announced before that it would leave.
func TestLeavingTargetIsNotKept(t *testing.T) {
	c := newFixture()
	c.Put(Target{
		ID:      "a",
		Leaving: true,
	})
	c.SetStoreAvailable(start, false)
	c.Remove(start, "a")
	if _, known := c.Catalogue().Targets["a"]; known {
		t.Error("the leaving target is still listed")
	}
}

// Guards against new work in an evacuated data centre, and against an evacuation that never ends.
func TestEvacuation(t *testing.T) {
	c := newFixture()
	c.Evacuate("pier", true)
	assertUsable(t, c, "a", false)
	c.Evacuate("pier", false)
	assertUsable(t, c, "a", true)
}

// Guards against changes that are undone while a restored store shows its older copy: work for a target that had left or was leaving, none
// for a live one, and work in an evacuated data centre.
func TestStoreRestored(t *testing.T) {
	entry := func(id namer.Target, leaving bool) Target {
		return Target{
			ID:         id,
			DataCentre: "pier",
			Leaving:    leaving,
			Started:    start,
		}
	}
	t.Run("a run that was leaving goes on to leave", func(t *testing.T) {
		c := newFixture()
		c.Put(entry("a", true))
		c.StoreRestored(start)
		c.Put(entry("a", false))
		assertUsable(t, c, "a", false)
		next := entry("a", false)
		next.Started = start.Add(time.Second)
		c.Put(next)
		assertUsable(t, c, "a", true)
	})
	t.Run("a live target that the copy lacks is kept", func(t *testing.T) {
		c := newFixture()
		c.StoreRestored(start)
		c.Remove(start, "a")
		assertUsable(t, c, "a", true)
		c.Tick(start.Add(3 * time.Second))
		assertUsable(t, c, "a", false)
	})
	t.Run("a removed target is used again once it has registered", func(t *testing.T) {
		c := newFixture()
		c.StoreRestored(start)
		c.Doubt(start, "a")
		assertUsable(t, c, "a", false)
		c.Put(entry("a", false))
		assertUsable(t, c, "a", true)
	})
	t.Run("a removed target is used again if its entry doesn't expire", func(t *testing.T) {
		c := newFixture()
		c.StoreRestored(start)
		c.Doubt(start, "a")
		if changed := c.Tick(start.Add(3 * time.Second)); !changed {
			t.Error("no change reported")
		}
		assertUsable(t, c, "a", true)
	})
	t.Run("an evacuation that the copy lacks is kept until it can be written again", func(t *testing.T) {
		c := newFixture()
		c.Evacuate("pier", true)
		c.StoreRestored(start)
		c.LapseEvacuation(start, "pier")
		assertUsable(t, c, "a", false)
		c.Evacuate("pier", true)
		c.Tick(start.Add(11 * time.Second))
		assertUsable(t, c, "a", false)
		c.LapseEvacuation(start, "pier")
		other := newFixture()
		for centre, end := range c.Lapsing() {
			if !other.EvacuateUntil(centre, end) || other.EvacuateUntil(centre, end.Add(time.Hour)) {
				t.Error("the evacuation wasn't taken over once")
			}
		}
		assertUsable(t, other, "a", false)
		other.Tick(start.Add(11 * time.Second))
		assertUsable(t, other, "a", true)
		c.Tick(start.Add(11 * time.Second))
		assertUsable(t, c, "a", true)
	})
}
