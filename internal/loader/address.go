package loader

import (
	"sync"
	"time"
)

// addressCache keeps the addresses that an instance returned until they expire.
type addressCache struct {
	seeds []string
	fetch func(address string) (addressAnswer, error)

	mu         sync.Mutex
	addresses  []string
	validUntil time.Time
	nextSeed   int
}

// addressAnswer is the response of /v1/address.
type addressAnswer struct {
	Addresses []struct {
		Address string `json:"address"`
	} `json:"addresses"`
	ValidForMS int64 `json:"valid_for_ms"`
}

// pick returns the address for an attempt, counted from 0; later attempts of a request get other addresses.
func (c *addressCache) pick(now time.Time, attempt int) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.validUntil) && attempt < len(c.addresses) {
		return c.addresses[attempt], nil
	}
	// Either the addresses have expired or all of them were tried without success.
	if err := c.refresh(now); err != nil {
		return "", err
	}
	return c.addresses[attempt%len(c.addresses)], nil
}

func (c *addressCache) refresh(now time.Time) error {
	var lastErr error
	for range c.seeds {
		seed := c.seeds[c.nextSeed%len(c.seeds)]
		c.nextSeed++
		answer, err := c.fetch(seed)
		if err != nil {
			lastErr = err
			continue
		}
		c.addresses = c.addresses[:0]
		for _, a := range answer.Addresses {
			c.addresses = append(c.addresses, a.Address)
		}
		c.validUntil = now.Add(time.Duration(answer.ValidForMS) * time.Millisecond)
		return nil
	}
	c.validUntil = time.Time{}
	return lastErr
}
