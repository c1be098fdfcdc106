package stepper

import (
	"cmp"
	"slices"
	"time"
)

const (
	stepTime        = 15 * time.Millisecond
	timePerSequence = 200 * time.Microsecond
	// chunkTokens is the prefill in one step; larger chunks would exceed the time between tokens.
	chunkTokens = 2048
	// coldPercent is the share of the capacity that a cold engine holds.
	coldPercent = 15
	// coldSlowdown divides the prefill rate of a cold engine.
	coldSlowdown = 3
)

// Options are the properties of an engine.
type Options struct {
	CapacityTokens int
	// PrefillRate is in tokens per second on a warm engine.
	PrefillRate float64
	// Cold is how long the engine is cold after its start and after each cold fault.
	Cold time.Duration
	// ColdNotice is how long after a cold fault the engine refuses what does not fit instead of crashing.
	ColdNotice time.Duration
	Fencing    bool
	// LoadLag is the time between two load reports.
	LoadLag time.Duration
	// EventLag is how late cache events are published.
	EventLag time.Duration
}

// Stepper is the engine's state.
type Stepper struct {
	options Options
	// sequences are in the order of their priority, then of their arrival.
	sequences []*sequence
	byID      map[string]*sequence
	used      int
	epoch     int64
	coldUntil time.Time
	noticeEnd time.Time
	report    Load
	cache     *cache
	arrivals  int
}

type sequence struct {
	Request
	arrival  int
	prefill  int // tokens still to process
	produced int // index of the next token
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

// Submit accepts a request or refuses it; an OutgrownError means that the engine crashes.
func (s *Stepper) Submit(now time.Time, r Request) error {
	s.observe(now)
	if err := s.checkEpoch(r.Epoch); err != nil {
		return err
	}
	if s.byID[r.ID] != nil {
		return &DuplicateError{
			ID: r.ID,
		}
	}
	held := s.used + r.reserved()
	if limit := s.limit(now); held > limit {
		if now.Before(s.noticeEnd) && held <= s.options.CapacityTokens {
			return &ColdError{}
		}
		return &OutgrownError{
			HeldTokens:  held,
			LimitTokens: limit,
			Cold:        s.cold(now),
		}
	}
	s.used = held
	s.add(r)
	s.cache.shrink(now, s.options.CapacityTokens-s.used)
	return nil
}

// Cancel ends a request and frees its memory; it reports whether the request was running.
func (s *Stepper) Cancel(now time.Time, id string) bool {
	s.observe(now)
	q, ok := s.byID[id]
	if ok {
		s.remove(q)
	}
	return ok
}

// Step runs one step of the batch.
func (s *Stepper) Step(now time.Time) Result {
	s.observe(now)
	var (
		result  Result
		decodes int
		budget  = chunkTokens
	)
	for _, q := range slices.Clone(s.sequences) {
		if q.held() {
			continue
		}
		if q.prefill > 0 {
			chunk := min(q.prefill, budget)
			q.prefill -= chunk
			budget -= chunk
			if chunk == 0 || q.prefill > 0 {
				continue
			}
			s.cache.store(now, q.Prefix)
		} else {
			decodes++
		}
		result.Tokens = append(result.Tokens, s.produce(q))
	}
	s.cache.shrink(now, s.options.CapacityTokens-s.used)
	if prefilled := chunkTokens - budget; prefilled > 0 || decodes > 0 {
		result.Duration = s.duration(now, decodes, prefilled)
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
			ReservedTokens: q.reserved(),
			ProducedTokens: q.produced,
		})
	}
	return list
}

// Load returns the last load report, which is up to one lag old.
func (s *Stepper) Load(now time.Time) Load {
	s.observe(now)
	return s.report
}

// Used returns the tokens held now.
func (s *Stepper) Used() int {
	return s.used
}

// Fence raises the epoch; an engine with fencing refuses lower epochs from then on.
func (s *Stepper) Fence(epoch int64) error {
	return s.checkEpoch(epoch)
}

// SetCold makes the engine cold; what it already holds keeps running.
func (s *Stepper) SetCold(now time.Time) {
	s.coldUntil = now.Add(s.options.Cold)
	s.noticeEnd = now.Add(s.options.ColdNotice)
}

// CacheEvents returns the published cache events after a number.
func (s *Stepper) CacheEvents(now time.Time, after int64) []CacheEvent {
	return s.cache.since(after, now.Add(-s.options.EventLag))
}

// Export returns the leading blocks of the prefix that are cached.
func (s *Stepper) Export(prefix []string) []string {
	return prefix[:s.cache.leading(prefix)]
}

// Import stores blocks in the prefix cache, as far as memory is free.
func (s *Stepper) Import(now time.Time, blocks []string) {
	s.cache.store(now, blocks)
	s.cache.shrink(now, s.options.CapacityTokens-s.used)
}

func (s *Stepper) checkEpoch(epoch int64) error {
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
		Request:  r,
		arrival:  s.arrivals,
		produced: r.ResumeFrom,
	}
	if !r.held() {
		q.prefill = r.prefill(s.cache.leading(r.Prefix))
	}
	at, _ := slices.BinarySearchFunc(s.sequences, q, func(a, b *sequence) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.arrival, b.arrival))
	})
	s.sequences = slices.Insert(s.sequences, at, q)
	s.byID[r.ID] = q
}

func (s *Stepper) remove(q *sequence) {
	s.used -= q.reserved()
	delete(s.byID, q.ID)
	at := slices.Index(s.sequences, q)
	s.sequences = slices.Delete(s.sequences, at, at+1)
}

func (s *Stepper) produce(q *sequence) Token {
	token := Token{
		RequestID: q.ID,
		Index:     q.produced,
	}
	q.produced++
	if q.produced >= q.MaxTokens {
		token.Last = true
		s.remove(q)
	}
	return token
}

func (s *Stepper) duration(now time.Time, decodes, prefilled int) time.Duration {
	rate := s.options.PrefillRate
	if s.cold(now) {
		rate /= coldSlowdown
	}
	prefillTime := time.Duration(float64(prefilled) / rate * float64(time.Second))
	return stepTime + time.Duration(decodes)*timePerSequence + prefillTime
}

func (s *Stepper) cold(now time.Time) bool {
	return now.Before(s.coldUntil)
}

func (s *Stepper) limit(now time.Time) int {
	if s.cold(now) {
		return s.options.CapacityTokens * coldPercent / 100
	}
	return s.options.CapacityTokens
}

func (s *Stepper) load(now time.Time) Load {
	load := Load{
		At:             now,
		CapacityTokens: s.options.CapacityTokens,
		UsedTokens:     s.used,
		Cold:           s.cold(now),
		Fencing:        s.options.Fencing,
		Epoch:          s.epoch,
	}
	for _, q := range s.sequences {
		load.QueueTokens += q.prefill
	}
	return load
}

// observe renews the load report once it is one lag old.
func (s *Stepper) observe(now time.Time) {
	if now.Sub(s.report.At) >= s.options.LoadLag {
		s.report = s.load(now)
	}
}
