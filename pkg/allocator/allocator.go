package allocator

import (
	"sort"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

const (
	// QuotaValid is how long a quota can be used, counted from the message that asked for it.
	QuotaValid = 6 * time.Second
	// clockMarginPart adds a tenth, which covers the difference of the rates of two clocks.
	clockMarginPart = 10
	// ShortPrefillTokens is the most that a short request prefills.
	ShortPrefillTokens = 8_000
	// LongPrefillTokens is the most that a medium request prefills; above it a request is long.
	LongPrefillTokens = 64_000
	// LongerShare is the share of memory that requests other than short ones may hold.
	LongerShare = 0.85
	// allocatedShare is the share of memory that may be given out as quotas.
	allocatedShare = 0.8
	// unfencedShare leaves headroom for requests in flight in a process at the moment it paused.
	unfencedShare = 0.96
	// lostKept is how long a lost holder without requests is remembered.
	lostKept = time.Minute
	// idleShare is the part of the allocatable memory that is split evenly whatever the demand.
	idleShare = 0.5
)

// Options describe the target.
type Options struct {
	Target         namer.Target
	CapacityTokens int
	// PrefillTokens bounds the prompt tokens that are in prefill at the same time.
	PrefillTokens int
	// PrefillRate is the normal rate in tokens per second.
	PrefillRate float64
	Fencing     bool
}

// Summary is the state of the target for heartbeats.
type Summary struct {
	Target            namer.Target
	Epoch             namer.Epoch
	Boot              string
	FreeTokens        int
	QueueTokens       int
	WarmPercent       int
	LongPrefills      int
	ReservedTokens    int
	UnknownUseTokens  int
	Reservations      int
	WaitingForReserve int
}

// Allocator is the owner's side of one target.
type Allocator struct {
	options    Options
	usable     int
	share      float64
	epoch      namer.Epoch
	until      time.Time
	changedAt  time.Time
	epochs     map[namer.Epoch]bool
	recipients map[namer.Holder]*recipient
	reserved   map[namer.Request]*reservation
	waiting    []*waiter
	lost       map[namer.Holder]time.Time
	boot       string
	listedAt   time.Time
	listed     map[namer.Request]Running
	// foreign is the use under epochs that this owner never held.
	foreign   int
	queued    int
	knownBoot string
	knownWarm float64
	ramp      ramp
	// confirmed is the part of share that the engine's list, asked for after the share was given, supports.
	confirmed float64
}

// recipient is what the owner knows of one process that admits requests under quota.
type recipient struct {
	grants  []grant
	used    int
	wanted  int
	listed  int
	heardAt time.Time
	// excess counts the lists in a row that show more use than the recipient reports.
	excess int
}

// grant is one quota that may still be used.
type grant struct {
	// number is that of the message that carried the quota.
	number  int64
	memory  int
	prefill int
	expires time.Time
}

// reservation is one granted one-off reservation.
type reservation struct {
	holder  namer.Holder
	tokens  int
	prefill int
	// expires is the start bound on the own clock.
	expires time.Time
	// seenAt is when the last list that shows the request was answered.
	seenAt     time.Time
	prefilling bool
}

type waiter struct {
	ask      ReserveAsked
	since    time.Time
	deadline time.Time
}

// New returns an allocator without authority.
func New(options Options) *Allocator {
	a := &Allocator{
		options:    options,
		usable:     options.CapacityTokens,
		epochs:     map[namer.Epoch]bool{},
		recipients: map[namer.Holder]*recipient{},
		reserved:   map[namer.Request]*reservation{},
		lost:       map[namer.Holder]time.Time{},
		listed:     map[namer.Request]Running{},
	}
	if !options.Fencing {
		a.usable = int(float64(options.CapacityTokens) * unfencedShare)
	}
	return a
}

// Handle applies one event at a time of the own clock and returns what is to be done.
func (a *Allocator) Handle(event Event, now time.Time) []Action {
	a.lapse(now)
	switch v := event.(type) {
	case AuthorityGiven:
		a.setAuthority(v, now)
	case DemandReported:
		r := a.recipient(v.From)
		r.used, r.wanted, r.heardAt = v.UsedTokens, v.WantedTokens, now
		r.adopt(v.Adopted)
	case QuotaAsked:
		return []Action{a.grantQuota(v, now)}
	case ReserveAsked:
		return a.reserve(v, now)
	case Released:
		a.release(v)
	case HolderLost:
		return a.loseHolder(v.Holder, now)
	case RequestsDisowned:
		return a.cancelDisowned(v)
	case Listed:
		return append(a.reconcile(v, now), a.promote(now)...)
	case LoadReported:
		a.noteLoad(v, now)
	case PrefillObserved:
		if v.Boot == a.boot {
			a.ramp.observe(v.Rate, a.options.PrefillRate, now)
		}
	case Tick:
		a.ramp.advance(now)
		a.forgetRecipients(now)
	}
	return a.promote(now)
}

// lapse withdraws authority that was not given again in time.
func (a *Allocator) lapse(now time.Time) {
	if a.share > 0 && !now.Before(a.until) {
		a.share = 0
		a.confirmed = 0
	}
}

// setAuthority lowers the share at once; a higher share counts from the first list asked for after it, since
// an older list may lack use that others have begun under their authority.
func (a *Allocator) setAuthority(v AuthorityGiven, now time.Time) {
	if v.Share > a.share {
		a.changedAt = now
	}
	if a.epoch == 0 && v.KnownBoot != "" && v.KnownBoot == a.boot {
		a.ramp.warm = max(a.ramp.warm, v.KnownWarm)
	}
	a.share = v.Share
	a.confirmed = min(a.confirmed, v.Share)
	a.until = v.Until
	if v.Share > 0 {
		a.epoch = v.Epoch
		a.epochs[v.Epoch] = true
	}
	if v.KnownBoot != "" {
		a.knownBoot, a.knownWarm = v.KnownBoot, v.KnownWarm
	}
	a.lapse(now)
}

func (a *Allocator) recipient(h namer.Holder) *recipient {
	r, ok := a.recipients[h]
	if !ok {
		r = &recipient{}
		a.recipients[h] = r
	}
	return r
}

// warmTokens is the usable memory after the warm-up ramp.
func (a *Allocator) warmTokens() int {
	return int(float64(a.usable) * a.ramp.share())
}

// limit is the memory that this owner may have allocated: its share, less what others hold above theirs.
func (a *Allocator) limit() int {
	if a.confirmed == 0 || a.boot == "" {
		return 0
	}
	warm := a.warmTokens()
	own := int(float64(warm) * a.confirmed)
	return max(0, min(own, warm-a.foreign))
}

// charge is the most that a recipient may use: its largest quota not known to be expired, or its use.
func (r *recipient) charge() int {
	charge := r.listed
	for _, g := range r.grants {
		charge = max(charge, g.memory)
	}
	return charge
}

func (r *recipient) prefillCharge() int {
	charge := 0
	for _, g := range r.grants {
		charge = max(charge, g.prefill)
	}
	return charge
}

// charges returns what is allocated as quotas and as reservations.
func (a *Allocator) charges() (quotas, reservations int) {
	for _, r := range a.recipients {
		quotas += r.charge()
	}
	for _, v := range a.reserved {
		reservations += v.tokens
	}
	return quotas, reservations
}

// forgetRecipients drops those that hold nothing and were not heard for as long as a quota lasts.
func (a *Allocator) forgetRecipients(now time.Time) {
	for h, r := range a.recipients {
		if len(r.grants) == 0 && r.listed == 0 && now.Sub(r.heardAt) > quotaGone() {
			delete(a.recipients, h)
		}
	}
	for h, at := range a.lost {
		if a.recipients[h] == nil && now.Sub(at) > lostKept {
			delete(a.lost, h)
		}
	}
}

func (a *Allocator) isLost(h namer.Holder) bool {
	_, ok := a.lost[h]
	return ok
}

// quotaGone is the time after which a quota granted now is expired on every clock.
func quotaGone() time.Duration {
	return QuotaValid + QuotaValid/clockMarginPart
}

// Summary returns the state for heartbeats.
func (a *Allocator) Summary(now time.Time) Summary {
	a.lapse(now)
	_, reservations := a.charges()
	used := reservations
	for _, r := range a.recipients {
		used += r.listed
	}
	return Summary{
		Target:            a.options.Target,
		Epoch:             a.epoch,
		Boot:              a.boot,
		FreeTokens:        max(0, a.limit()-used),
		QueueTokens:       a.queued,
		WarmPercent:       int(a.ramp.share()*100 + 0.5),
		LongPrefills:      a.longPrefills(),
		ReservedTokens:    used,
		UnknownUseTokens:  a.foreign,
		Reservations:      len(a.reserved),
		WaitingForReserve: len(a.waiting),
	}
}

// sortedRequests returns the keys of a map of requests in order, so that actions do not depend on map order.
func sortedRequests[T any](requests map[namer.Request]T) []namer.Request {
	ids := make([]namer.Request, 0, len(requests))
	for id := range requests {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
