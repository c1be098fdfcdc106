package allocator

import (
	"sort"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

const (
	// QuotaValid is how long a quota can be used, counted from the sending of the message that asked for it.
	QuotaValid = 6 * time.Second
	// clockMarginDivisor adds a tenth to a duration, which covers the rate difference of two clocks.
	clockMarginDivisor = 10
	// ShortPrefillTokens is the largest prefill of a short request, in tokens.
	ShortPrefillTokens = 8_000
	// LongPrefillTokens is the largest prefill of a medium request, in tokens; a request above it is long.
	LongPrefillTokens = 64_000
	// NonShortShare is the share of memory that medium and long requests together may hold.
	NonShortShare = 0.85
	// quotaShare is the share of memory that may be granted as quotas; the rest is for one-off reservations only.
	quotaShare = 0.8
	// unfencedShare is the usable share of a target without fencing; the rest is for requests that a process had in
	// flight when it paused.
	unfencedShare = 0.96
	// lostRetention is how long a process that was reported as gone is remembered, or longer while it has grants or requests.
	lostRetention = time.Minute
	// evenShare is the share of the quota memory that is split evenly between recipients, whatever their demand.
	evenShare = 0.5
)

// Options describes the target.
type Options struct {
	Target         namer.Target
	CapacityTokens int
	// PrefillTokens is the limit of prompt tokens in prefill at the same time.
	PrefillTokens int
	// PrefillRate is the prefill rate of the warm target in tokens per second.
	PrefillRate float64
	Fencing     bool
}

// Summary is the state of the target as heartbeats report it.
type Summary struct {
	Target namer.Target
	Epoch  namer.Epoch
	Boot   string
	// FreeTokens is the memory that this owner may allocate, less ReservedTokens; unused quotas count as free.
	FreeTokens int
	// QueueTokens is the length of the engine's queue in its latest load report.
	QueueTokens int
	// WarmPercent is the part of the usable memory that the warm-up ramp allows.
	WarmPercent int
	// LongPrefills is the number of one-off reservations whose long prefill has not ended.
	LongPrefills int
	// ReservedTokens is the memory of one-off reservations and of listed requests under quotas.
	ReservedTokens int
	// ForeignTokens is the memory of listed requests under epochs that this owner never had.
	ForeignTokens int
	// Reservations and WaitingReservations count the granted and the waiting one-off reservations.
	Reservations        int
	WaitingReservations int
}

// Allocator grants quotas and reservations of one target's memory on behalf of its owner.
type Allocator struct {
	options       Options
	usableTokens  int
	share         float64
	epoch         namer.Epoch
	validUntil    time.Time
	shareRaisedAt time.Time
	// epochs holds every epoch under which this owner has had authority.
	epochs     map[namer.Epoch]bool
	recipients map[namer.Holder]*recipient
	reserved   map[namer.Request]*reservation
	// waiting holds the one-off reservations that wait for memory, in order of arrival.
	waiting []*waiter
	// lostSince is when each lost process was reported as gone.
	lostSince map[namer.Holder]time.Time
	// boot is the boot id in the engine's last list, or empty before the first list.
	boot string
	// listedAt is when the last list was requested, and listedRequests are the requests in it.
	listedAt       time.Time
	listedRequests map[namer.Request]RunningRequest
	// foreignTokens is the use by requests under epochs that this owner never had.
	foreignTokens int
	queueTokens   int
	knownBoot     string
	knownWarm     float64
	ramp          ramp
	// confirmedShare is the part of share that may be allocated: a raised share counts only after a list of the engine
	// that was requested after the raise.
	confirmedShare float64
}

// recipient is the owner's account of one process that admits requests under a quota.
type recipient struct {
	grants []grant
	// usedTokens and wantedTokens are the use and the unmet demand that the recipient last reported.
	usedTokens   int
	wantedTokens int
	// listedTokens is the memory of the recipient's requests in the engine's list, without one-off reservations.
	listedTokens int
	heardAt      time.Time
	// excessLists counts consecutive lists that show more use than the recipient reports.
	excessLists int
}

// grant is one quota that the recipient may still be using.
type grant struct {
	// number is the number of the message that carried the quota.
	number int64
	// memory and prefill are the limits of the quota, in tokens.
	memory  int
	prefill int
	expires time.Time
}

// reservation is a granted one-off reservation.
type reservation struct {
	holder namer.Holder
	// tokens is the reserved memory and prefill the length of the prefill, in tokens.
	tokens  int
	prefill int
	// expires is the time on the owner's clock by which the request must have started.
	expires time.Time
	// seenAt is when the answer of the last list that shows the request arrived.
	seenAt time.Time
	// prefilling is set until the list shows a produced token.
	prefilling bool
}

// waiter is a one-off reservation that waits for memory.
type waiter struct {
	request ReserveAsked
	// since is when it was last asked for; deadline counts from the first time.
	since    time.Time
	deadline time.Time
}

// New returns an allocator that has no authority yet.
func New(options Options) *Allocator {
	a := &Allocator{
		options:        options,
		usableTokens:   options.CapacityTokens,
		epochs:         map[namer.Epoch]bool{},
		recipients:     map[namer.Holder]*recipient{},
		reserved:       map[namer.Request]*reservation{},
		lostSince:      map[namer.Holder]time.Time{},
		listedRequests: map[namer.Request]RunningRequest{},
	}
	if !options.Fencing {
		a.usableTokens = int(float64(options.CapacityTokens) * unfencedShare)
	}
	return a
}

// Handle applies one event, at a time of this instance's clock, and returns the actions to carry out.
func (a *Allocator) Handle(event Event, now time.Time) []Action {
	a.expireAuthority(now)
	switch v := event.(type) {
	case AuthorityGiven:
		a.setAuthority(v, now)
	case DemandReported:
		r := a.recipient(v.From)
		r.usedTokens, r.wantedTokens, r.heardAt = v.UsedTokens, v.WantedTokens, now
		r.endReplacedGrants(v.Adopted)
	case QuotaAsked:
		return []Action{a.grantQuota(v, now)}
	case ReserveAsked:
		return a.reserve(v, now)
	case Released:
		a.release(v)
	case HolderLost:
		return a.handleHolderLost(v.Holder, now)
	case RequestsNotKnown:
		return a.cancelUnknown(v)
	case RequestsListed:
		return append(a.reconcile(v, now), a.grantWaiting(now)...)
	case LoadReported:
		a.handleLoad(v, now)
	case PrefillObserved:
		if v.Boot == a.boot {
			a.ramp.observe(v.Rate, a.options.PrefillRate, now)
		}
	case Tick:
		a.ramp.advance(now)
		a.forgetRecipients(now)
	}
	return a.grantWaiting(now)
}

// expireAuthority withdraws authority that was not renewed in time.
func (a *Allocator) expireAuthority(now time.Time) {
	if a.share > 0 && !now.Before(a.validUntil) {
		a.share = 0
		a.confirmedShare = 0
	}
}

// setAuthority lowers the share at once. A higher share takes effect with the first list requested after it, since
// an older list may lack requests that others have started under their authority.
func (a *Allocator) setAuthority(v AuthorityGiven, now time.Time) {
	if v.Share > a.share {
		a.shareRaisedAt = now
	}
	if a.epoch == 0 && v.KnownBoot != "" && v.KnownBoot == a.boot {
		a.ramp.warmShare = max(a.ramp.warmShare, v.KnownWarm)
	}
	a.share = v.Share
	a.confirmedShare = min(a.confirmedShare, v.Share)
	a.validUntil = v.Until
	if v.Share > 0 {
		a.epoch = v.Epoch
		a.epochs[v.Epoch] = true
	}
	if v.KnownBoot != "" {
		a.knownBoot, a.knownWarm = v.KnownBoot, v.KnownWarm
	}
	a.expireAuthority(now)
}

func (a *Allocator) recipient(h namer.Holder) *recipient {
	r, ok := a.recipients[h]
	if !ok {
		r = &recipient{}
		a.recipients[h] = r
	}
	return r
}

// warmTokens returns the part of the usable memory that the warm-up ramp allows.
func (a *Allocator) warmTokens() int {
	return int(float64(a.usableTokens) * a.ramp.share())
}

// limit returns the tokens that this owner may have allocated: its share of the warm memory, or less if foreign requests
// use more than the rest.
func (a *Allocator) limit() int {
	if a.confirmedShare == 0 || a.boot == "" {
		return 0
	}
	warm := a.warmTokens()
	own := int(float64(warm) * a.confirmedShare)
	return max(0, min(own, warm-a.foreignTokens))
}

// charge returns the most that a recipient may use: its largest quota that may still be valid, or its listed use.
func (r *recipient) charge() int {
	charge := r.listedTokens
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

// charges returns the tokens allocated as quotas and as reservations.
func (a *Allocator) charges() (quotas, reservations int) {
	for _, r := range a.recipients {
		quotas += r.charge()
	}
	for _, v := range a.reserved {
		reservations += v.tokens
	}
	return quotas, reservations
}

// forgetRecipients drops recipients that hold nothing and were silent for the lifetime of a quota.
func (a *Allocator) forgetRecipients(now time.Time) {
	for h, r := range a.recipients {
		if len(r.grants) == 0 && r.listedTokens == 0 && now.Sub(r.heardAt) > quotaExpiry() {
			delete(a.recipients, h)
		}
	}
	for h, at := range a.lostSince {
		if a.recipients[h] == nil && now.Sub(at) > lostRetention {
			delete(a.lostSince, h)
		}
	}
}

func (a *Allocator) isLost(h namer.Holder) bool {
	_, ok := a.lostSince[h]
	return ok
}

// quotaExpiry returns the time after which a quota granted now has expired on every clock.
func quotaExpiry() time.Duration {
	return QuotaValid + QuotaValid/clockMarginDivisor
}

// Summary returns the state of the target for heartbeats.
func (a *Allocator) Summary(now time.Time) Summary {
	a.expireAuthority(now)
	_, reservations := a.charges()
	used := reservations
	for _, r := range a.recipients {
		used += r.listedTokens
	}
	return Summary{
		Target:              a.options.Target,
		Epoch:               a.epoch,
		Boot:                a.boot,
		FreeTokens:          max(0, a.limit()-used),
		QueueTokens:         a.queueTokens,
		WarmPercent:         int(a.ramp.share()*100 + 0.5),
		LongPrefills:        a.longPrefills(),
		ReservedTokens:      used,
		ForeignTokens:       a.foreignTokens,
		Reservations:        len(a.reserved),
		WaitingReservations: len(a.waiting),
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
