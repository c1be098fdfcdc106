package stepper

import (
	"container/list"
	"time"
)

const (
	// BlockTokens is the number of tokens in one block of the prefix cache.
	BlockTokens = 512
	// gapEvery is the distance between the cache events that are lost.
	gapEvery       = 16
	maxCacheEvents = 20_000
)

// CacheEventType tells stored from evicted blocks.
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

// cache holds blocks of prompt prefixes; the least recently used ones are evicted first.
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

// leading returns how many blocks from the start of the prefix are cached.
func (c *cache) leading(prefix []string) int {
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

// shrink evicts blocks until at most limit tokens are cached.
func (c *cache) shrink(now time.Time, limit int) {
	for len(c.blocks)*BlockTokens > max(limit, 0) {
		oldest := c.recent.Back()
		block, _ := c.recent.Remove(oldest).(string)
		delete(c.blocks, block)
		c.record(now, CacheEvicted, block)
	}
}

func (c *cache) record(now time.Time, t CacheEventType, block string) {
	c.number++
	if c.number%gapEvery == 0 {
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

// since returns the events after a number that happened before the time.
func (c *cache) since(after int64, before time.Time) []CacheEvent {
	events := []CacheEvent{}
	for _, event := range c.events {
		if event.Number > after && event.at.Before(before) {
			events = append(events, event)
		}
	}
	return events
}
