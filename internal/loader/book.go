package loader

import (
	"sync"
	"time"
)

// book keeps the addresses that an instance gave, for as long as they are valid.
type book struct {
	seeds []string
	ask   func(address string) (addressAnswer, error)

	mu      sync.Mutex
	current []string
	until   time.Time
	next    int
}

// addressAnswer is the answer of /v1/address.
type addressAnswer struct {
	Addresses []struct {
		Address string `json:"address"`
	} `json:"addresses"`
	ValidForMS int64 `json:"valid_for_ms"`
}

// pick returns the address for an attempt; later attempts of a request get other addresses.
func (b *book) pick(now time.Time, attempt int) (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(b.until) && attempt < len(b.current) {
		return b.current[attempt], nil
	}
	// Either the answer has expired or none of its addresses worked.
	if err := b.refresh(now); err != nil {
		return "", err
	}
	return b.current[attempt%len(b.current)], nil
}

func (b *book) refresh(now time.Time) error {
	var last error
	for range b.seeds {
		seed := b.seeds[b.next%len(b.seeds)]
		b.next++
		answer, err := b.ask(seed)
		if err != nil {
			last = err
			continue
		}
		b.current = b.current[:0]
		for _, a := range answer.Addresses {
			b.current = append(b.current, a.Address)
		}
		b.until = now.Add(time.Duration(answer.ValidForMS) * time.Millisecond)
		return nil
	}
	b.until = time.Time{}
	return last
}
