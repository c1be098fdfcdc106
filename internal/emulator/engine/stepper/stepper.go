package stepper

import (
	"cmp"
	"slices"
	"time"
)

const (
	stepTime        = 15 * time.Millisecond
	timePerSequence = 200 * time.Microsecond
	// chunkTokens bounds the prefill of one step; larger chunks would delay running streams beyond their token interval.
	chunkTokens = 2048
	// coldPercent is the share of the capacity that a cold engine can use.
	coldPercent = 15
	// coldSlowdown divides the prefill rate of a cold engine.
	coldSlowdown = 3
)

// Options are the properties of an emulated engine.
type Options struct {
	CapacityTokens int
	// PrefillRate is in tokens per second on a warm engine.
	PrefillRate float64
	// Cold is how long the engine is cold after its start and after each cold fault.
	Cold time.Duration
	// ColdNotice is how long after a cold fault the engine refuses requests that do not fit instead of crashing.
	ColdNotice time.Duration
	Fencing    bool
	// LoadLag is the time between two load reports.
	LoadLag time.Duration
	// EventLag is the delay before cache events are published.
	EventLag time.Duration
}

// Stepper is the state of an emulated engine.
type Stepper struct {
	options Options
	// sequences is sorted by priority, then by arrival.
	sequences   []*sequence
	byID        map[string]*sequence
	usedTokens  int
	epoch       int64
	coldUntil   time.Time
	refuseUntil time.Time
	report      Load
	cache       *cache
	arrivals    int
}

type sequence struct {
	Request
	arrival     int
	prefillLeft int // tokens still to process
	nextIndex   int // index of the next token
}

// New returns an engine that starts now, cold.
func New(now time.Time, options Options) *Stepper {
	s := &Stepper{
		options:   options,
		byID:      map[string]*sequence{},
		coldUntil: now.Add(options.Cold),
		cache:     newCache(),
	}
	s.report = s.load(now)
	return s
}

// Submit admits a request or returns why it is refused; an OutOfMemoryError means that the engine crashes.
func (s *Stepper) Submit(now time.Time, r Request) error {
	s.refreshReport(now)
	if err := s.advanceEpoch(r.Epoch); err != nil {
		return err
	}
	if s.byID[r.ID] != nil {
		return &DuplicateError{
			ID: r.ID,
		}
	}
	total := s.usedTokens + r.reservedTokens()
	if limit := s.memoryLimit(now); total > limit {
		if now.Before(s.refuseUntil) && total <= s.options.CapacityTokens {
			return &ColdError{}
		}
		return &OutOfMemoryError{
			HeldTokens:  total,
			LimitTokens: limit,
			Cold:        s.isCold(now),
		}
	}
	s.usedTokens = total
	s.add(r)
	s.cache.evictTo(now, s.options.CapacityTokens-s.usedTokens)
	return nil
}

// Cancel ends a request and frees its memory; it reports whether the request was running.
func (s *Stepper) Cancel(now time.Time, id string) bool {
	s.refreshReport(now)
	q, ok := s.byID[id]
	if ok {
		s.remove(q)
	}
	return ok
}

// Step runs one step of continuous batching.
func (s *Stepper) Step(now time.Time) Result {
	s.refreshReport(now)
	var (
		result  Result
		decodes int
		budget  = chunkTokens
	)
	for _, q := range slices.Clone(s.sequences) {
		if q.onlyHoldsMemory() {
			continue
		}
		if q.prefillLeft > 0 {
			chunk := min(q.prefillLeft, budget)
			q.prefillLeft -= chunk
			budget -= chunk
			if chunk == 0 || q.prefillLeft > 0 {
				continue
			}
			s.cache.store(now, q.Prefix)
		} else {
			decodes++
		}
		result.Tokens = append(result.Tokens, s.produce(q))
	}
	s.cache.evictTo(now, s.options.CapacityTokens-s.usedTokens)
	if prefilled := chunkTokens - budget; prefilled > 0 || decodes > 0 {
		result.Duration = s.stepDuration(now, decodes, prefilled)
	}
	return result
}

// List returns the requests that the engine holds.
func (s *Stepper) List() []Running {
	list := make([]Running, 0, len(s.sequences))
	for _, q := range s.sequences {
		list = append(list, Running{
			ID:             q.ID,
			Holder:         q.Holder,
			Epoch:          q.Epoch,
			ReservedTokens: q.reservedTokens(),
			ProducedTokens: q.nextIndex,
		})
	}
	return list
}

// Load returns the last load report, which is at most LoadLag old.
func (s *Stepper) Load(now time.Time) Load {
	s.refreshReport(now)
	return s.report
}

// Used returns the memory that is reserved now, in tokens.
func (s *Stepper) Used() int {
	return s.usedTokens
}

// Fence raises the epoch; an engine with fencing refuses lower epochs from then on.
func (s *Stepper) Fence(epoch int64) error {
	return s.advanceEpoch(epoch)
}

// SetCold makes the engine cold; requests that it has already admitted keep running.
func (s *Stepper) SetCold(now time.Time) {
	s.coldUntil = now.Add(s.options.Cold)
	s.refuseUntil = now.Add(s.options.ColdNotice)
}

// CacheEvents returns the published cache events with numbers above after.
func (s *Stepper) CacheEvents(now time.Time, after int64) []CacheEvent {
	return s.cache.eventsAfter(after, now.Add(-s.options.EventLag))
}

// Export returns the leading blocks of the prefix that are cached.
func (s *Stepper) Export(prefix []string) []string {
	return prefix[:s.cache.cachedBlocks(prefix)]
}

// Import stores blocks in the prefix cache as far as memory is free.
func (s *Stepper) Import(now time.Time, blocks []string) {
	s.cache.store(now, blocks)
	s.cache.evictTo(now, s.options.CapacityTokens-s.usedTokens)
}

// advanceEpoch raises the epoch; an engine with fencing returns a StaleEpochError for a lower one.
func (s *Stepper) advanceEpoch(epoch int64) error {
	if s.options.Fencing && epoch < s.epoch {
		return &StaleEpochError{
			Epoch:   epoch,
			Current: s.epoch,
		}
	}
	s.epoch = max(s.epoch, epoch)
	return nil
}

func (s *Stepper) add(r Request) {
	s.arrivals++
	q := &sequence{
		Request:   r,
		arrival:   s.arrivals,
		nextIndex: r.ResumeFrom,
	}
	if !r.onlyHoldsMemory() {
		q.prefillLeft = r.prefillTokens(s.cache.cachedBlocks(r.Prefix))
	}
	at, _ := slices.BinarySearchFunc(s.sequences, q, func(a, b *sequence) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.arrival, b.arrival))
	})
	s.sequences = slices.Insert(s.sequences, at, q)
	s.byID[r.ID] = q
}

func (s *Stepper) remove(q *sequence) {
	s.usedTokens -= q.reservedTokens()
	delete(s.byID, q.ID)
	at := slices.Index(s.sequences, q)
	s.sequences = slices.Delete(s.sequences, at, at+1)
}

func (s *Stepper) produce(q *sequence) Token {
	token := Token{
		RequestID: q.ID,
		Index:     q.nextIndex,
	}
	q.nextIndex++
	if q.nextIndex >= q.MaxTokens {
		token.Last = true
		s.remove(q)
	}
	return token
}

func (s *Stepper) stepDuration(now time.Time, decodes, prefilled int) time.Duration {
	rate := s.options.PrefillRate
	if s.isCold(now) {
		rate /= coldSlowdown
	}
	prefillTime := time.Duration(float64(prefilled) / rate * float64(time.Second))
	return stepTime + time.Duration(decodes)*timePerSequence + prefillTime
}

func (s *Stepper) isCold(now time.Time) bool {
	return now.Before(s.coldUntil)
}

func (s *Stepper) memoryLimit(now time.Time) int {
	if s.isCold(now) {
		return s.options.CapacityTokens * coldPercent / 100
	}
	return s.options.CapacityTokens
}

func (s *Stepper) load(now time.Time) Load {
	load := Load{
		At:             now,
		CapacityTokens: s.options.CapacityTokens,
		UsedTokens:     s.usedTokens,
		Cold:           s.isCold(now),
		Fencing:        s.options.Fencing,
		Epoch:          s.epoch,
	}
	for _, q := range s.sequences {
		load.QueueTokens += q.prefillLeft
	}
	return load
}

// refreshReport replaces the load report once it is LoadLag old.
func (s *Stepper) refreshReport(now time.Time) {
	if now.Sub(s.report.At) >= s.options.LoadLag {
		s.report = s.load(now)
	}
}
