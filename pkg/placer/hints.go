package placer

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// probeBlocks is the number of consecutive prefix lengths that a step of the search tries, since cache events can be missing.
const probeBlocks = 3

// hints records which targets reported which prefixes. All hints have the same lifetime, so they expire in order of arrival.
type hints struct {
	settings Settings
	byPrefix map[uint64][]hint
	// order holds the hints by time of arrival; those before the index head are dropped.
	order []hintKey
	head  int
}

type hint struct {
	target  namer.Target
	expires time.Time
}

type hintKey struct {
	prefix  uint64
	expires time.Time
}

// prefixHolder is a target that is reported to cache a prefix of this many blocks.
type prefixHolder struct {
	target namer.Target
	blocks int
}

func newHints(settings Settings) *hints {
	return &hints{
		settings: settings,
		byPrefix: map[uint64][]hint{},
	}
}

func (h *hints) store(now time.Time, target namer.Target, prefix uint64) {
	expires := now.Add(h.settings.HintTTL)
	h.order = append(h.order, hintKey{
		prefix:  prefix,
		expires: expires,
	})
	list := h.byPrefix[prefix]
	for i := range list {
		if list[i].target == target {
			list[i].expires = expires
			return
		}
	}
	if len(list) >= h.settings.MaxHolders {
		list = list[1:]
	}
	h.byPrefix[prefix] = append(list, hint{
		target:  target,
		expires: expires,
	})
}

func (h *hints) evict(target namer.Target, prefix uint64) {
	h.filter(prefix, func(held hint) bool {
		return held.target != target
	})
}

func (h *hints) expire(now time.Time) {
	for h.head < len(h.order) {
		first := h.order[h.head]
		if first.expires.After(now) && len(h.order)-h.head <= h.settings.MaxHints {
			break
		}
		h.head++
		h.filter(first.prefix, func(held hint) bool {
			return held.expires.After(first.expires)
		})
	}
	if h.head > len(h.order)/2 {
		h.order = append([]hintKey(nil), h.order[h.head:]...)
		h.head = 0
	}
}

func (h *hints) filter(prefix uint64, keep func(hint) bool) {
	list := h.byPrefix[prefix]
	kept := list[:0]
	for _, e := range list {
		if keep(e) {
			kept = append(kept, e)
		}
	}
	if len(kept) == 0 {
		delete(h.byPrefix, prefix)
		return
	}
	h.byPrefix[prefix] = kept
}

// longestHolders appends up to MaxHolders targets with the longest prefixes to found and returns it. A target that holds a
// prefix also holds all shorter ones, so a binary search takes time logarithmic in the length of the prompt.
func (h *hints) longestHolders(now time.Time, prefix []uint64, found []prefixHolder) []prefixHolder {
	low, high := 0, len(prefix) // lengths in blocks: the longest prefix known to be held, and the longest that may be
	for low < high {
		middle := (low + high + 1) / 2
		deepest := 0
		for blocks := middle; blocks < min(middle+probeBlocks, len(prefix)+1); blocks++ {
			if exists := h.addHolders(now, prefix, blocks, &found); exists {
				deepest = blocks
			}
		}
		if deepest == 0 {
			high = middle - 1
			continue
		}
		low = max(deepest, middle)
		high = max(high, low)
	}
	return found
}

// addHolders adds the holders of one prefix and reports whether there are any. A holder that is
// already listed keeps the longer of its two prefixes; in a full list, a longer prefix replaces the shortest.
func (h *hints) addHolders(now time.Time, prefix []uint64, blocks int, found *[]prefixHolder) bool {
	any := false
	for _, e := range h.byPrefix[prefix[blocks-1]] {
		if !e.expires.After(now) {
			continue
		}
		any = true
		h.addHolder(found, prefixHolder{
			target: e.target,
			blocks: blocks,
		})
	}
	return any
}

func (h *hints) addHolder(found *[]prefixHolder, added prefixHolder) {
	list := *found
	shortest := -1
	for i := range list {
		if list[i].target == added.target {
			list[i].blocks = max(list[i].blocks, added.blocks)
			return
		}
		if shortest < 0 || list[i].blocks < list[shortest].blocks {
			shortest = i
		}
	}
	if len(list) < h.settings.MaxHolders {
		*found = append(*found, added)
		return
	}
	if list[shortest].blocks < added.blocks {
		list[shortest] = added
	}
}
