package placer

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Guards against hints that are used after their expiry or eviction, more holders than MaxHolders, and more hints than
// MaxHints.
func TestHints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultSettings()
		settings.MaxHints = 50
		h := newHints(settings)
		now := time.Unix(1_000, 0)
		type key struct {
			target namer.Target
			prefix uint64
		}
		stored := map[key]time.Time{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3_000).Draw(t, "ms")) * time.Millisecond)
			one := key{
				target: rapid.SampledFrom([]namer.Target{"a", "b", "c", "d", "e", "f"}).Draw(t, "target"),
				prefix: rapid.Uint64Range(1, 8).Draw(t, "prefix"),
			}
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				h.evict(one.target, one.prefix)
				delete(stored, one)
			} else {
				h.store(now, one.target, one.prefix)
				stored[one] = now
			}
			h.expire(now)
			found := h.longestHolders(now, []uint64{1, 2, 3, 4, 5, 6, 7, 8}, nil)
			if len(found) > settings.MaxHolders || len(h.order)-h.head > settings.MaxHints {
				t.Fatalf("%d holders, %d hints", len(found), len(h.order)-h.head)
			}
			for _, holder := range found {
				at, known := stored[key{target: holder.target, prefix: uint64(holder.blocks)}]
				if !known || now.Sub(at) >= settings.HintTTL {
					t.Fatalf("%s is believed to hold %d blocks: %v", holder.target, holder.blocks, now.Sub(at))
				}
			}
		}
	})
}
