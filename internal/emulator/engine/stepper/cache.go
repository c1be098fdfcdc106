package stepper

import (
	"container/list"
	"time"
)

const (
	// BlockTokens is the number of tokens in one block of the prefix cache.
	BlockTokens = 512
	// lostEventInterval drops every 16th cache event, so that readers meet gaps in the numbers.
	lostEventInterval = 16
	maxCacheEvents    = 20_000
)

// CacheEventType says whether a block was stored or evicted.
type CacheEventType string

// The types of cache events.
const (
	CacheStored  CacheEventType = "stored"
	CacheEvicted CacheEventType = "evicted"
)

// CacheEvent is a change of the prefix cache.
type CacheEvent struct {
	Number int64          `json:"number"`
	Type   CacheEventType `json:"type"`
	Prefix string         `json:"prefix"`
	at     time.Time
}

// cache is an LRU cache of the blocks of prompt prefixes.
type cache struct {
	blocks map[string]*list.Element
	recent *list.List // of block hashes, the most recently used first
	events []CacheEvent
	number int64
}

func newCache() *cache {
	return &cache{
		blocks: map[string]*list.Element{},
		recent: list.New(),
	}
}

// cachedBlocks returns how many blocks from the start of the prefix are cached, and marks them as recently used.
func (c *cache) cachedBlocks(prefix []string) int {
	for i, block := range prefix {
		element, ok := c.blocks[block]
		if !ok {
			return i
		}
		c.recent.MoveToFront(element)
	}
	return len(prefix)
}

func (c *cache) store(now time.Time, prefix []string) {
	for _, block := range prefix {
		if element, ok := c.blocks[block]; ok {
			c.recent.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.recent.PushFront(block)
		c.record(now, CacheStored, block)
	}
}

// evictTo evicts the least recently used blocks until at most limit tokens are cached.
func (c *cache) evictTo(now time.Time, limit int) {
	for len(c.blocks)*BlockTokens > max(limit, 0) {
		oldest := c.recent.Back()
		block, _ := c.recent.Remove(oldest).(string)
		delete(c.blocks, block)
		c.record(now, CacheEvicted, block)
	}
}

func (c *cache) record(now time.Time, t CacheEventType, block string) {
	c.number++
	if c.number%lostEventInterval == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{
		Number: c.number,
		Type:   t,
		Prefix: block,
		at:     now,
	})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// eventsAfter returns the events with numbers above after that happened before the cutoff.
func (c *cache) eventsAfter(after int64, cutoff time.Time) []CacheEvent {
	events := []CacheEvent{}
	for _, event := range c.events {
		if event.Number > after && event.at.Before(cutoff) {
			events = append(events, event)
		}
	}
	return events
}
