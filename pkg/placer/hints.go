package placer

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// gapBlocks is how many missing blocks in a row the search for a prefix steps over, since cache
// events arrive with gaps.
const gapBlocks = 3

// hints remembers which targets reported which prefixes. All hints live equally long, so the
// order of arrival is the order of expiry.
type hints struct {
	settings Settings
	byPrefix map[uint64][]hint
	order    []hintKey
	head     int
}

type hint struct {
	target  namer.Target
	expires time.Time
}

type hintKey struct {
	prefix  uint64
	expires time.Time
}

type holding struct {
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
	h.keep(prefix, func(kept hint) bool {
		return kept.target != target
	})
}

func (h *hints) expire(now time.Time) {
	for h.head < len(h.order) {
		first := h.order[h.head]
		if first.expires.After(now) && len(h.order)-h.head <= h.settings.MaxHints {
			break
		}
		h.head++
		h.keep(first.prefix, func(kept hint) bool {
			return kept.expires.After(first.expires)
		})
	}
	if h.head > len(h.order)/2 {
		h.order = append([]hintKey(nil), h.order[h.head:]...)
		h.head = 0
	}
}

func (h *hints) keep(prefix uint64, keep func(hint) bool) {
	list := h.byPrefix[prefix]
	kept := list[:0]
	for _, one := range list {
		if keep(one) {
			kept = append(kept, one)
		}
	}
	if len(kept) == 0 {
		delete(h.byPrefix, prefix)
		return
	}
	h.byPrefix[prefix] = kept
}

// holders returns up to MaxHolders targets with the longest prefixes. A target that holds a prefix
// holds all shorter ones, which allows a binary search; its cost is logarithmic in the prompt.
func (h *hints) holders(now time.Time, prefix []uint64, found []holding) []holding {
	low, high := 0, len(prefix) // blocks known to be held, blocks known not to be
	for low < high {
		middle := (low + high + 1) / 2
		deepest := 0
		for blocks := middle; blocks < min(middle+gapBlocks, len(prefix)+1); blocks++ {
			if at := h.collect(now, prefix, blocks, &found); at {
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

// collect adds the holders of one prefix and reports whether there are any. A holder that is
// already listed keeps the longer of the two prefixes; when the list is full the shortest goes.
func (h *hints) collect(now time.Time, prefix []uint64, blocks int, found *[]holding) bool {
	any := false
	for _, one := range h.byPrefix[prefix[blocks-1]] {
		if !one.expires.After(now) {
			continue
		}
		any = true
		h.insert(found, holding{
			target: one.target,
			blocks: blocks,
		})
	}
	return any
}

func (h *hints) insert(found *[]holding, added holding) {
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
