package elector_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"bergamothollow.example/bergamothollow/pkg/allocator"
	"bergamothollow.example/bergamothollow/pkg/elector"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/reserver"
	"bergamothollow.example/bergamothollow/pkg/tracker"
)

const (
	modelStep     = 250 * time.Millisecond
	modelCapacity = 100_000
	modelRate     = 10_000
	storeTimeout  = time.Second
	// coldTime is how long an engine is cold after its restart.
	coldTime = 8 * time.Second
	// listLag is how long an instance must have been visible before the platform lists it again.
	listLag = 2 * time.Second
	// unseenAfter is how long an instance must have been invisible before the platform drops it from its list.
	unseenAfter = 5 * time.Second
)

// disabled selects mechanisms to switch off in the model, to show that the properties depend on them.
type disabled struct {
	takeoverWait    bool
	pauseDetection  bool
	isolation       bool
	withheldEcho    bool
	echoVersion     bool
	engineFencing   bool
	sentTimeExpiry  bool
	bootCheck       bool
	freshList       bool
	reconciliation  bool
	requalification bool
	keptAllocator   bool
	startCheck      bool
	// dropRule makes the platform drop every instance that is cut off from the store.
	dropRule bool
}

type faultKind int

const (
	faultKill faultKind = iota
	faultPause
	faultCutStore
	faultCutPeers
	faultCutBoth
	faultStoreDown
	faultLoseAnswers
	faultEngineRestart
	faultCutPair
	faultLeave
	// faultCutAway partitions the instances: those with the fault reach only each other.
	faultCutAway
	faultKinds
)

// fault is one entry of a generated schedule.
type fault struct {
	Kind   faultKind
	At     time.Duration
	Length time.Duration
	Who    int
}

type call struct {
	due time.Duration
	run func()
}

// simulation holds several instances, the store and the engines, under one real time that no instance can read.
type simulation struct {
	disabled     disabled
	random       *rand.Rand
	now          time.Duration
	end          time.Duration
	instances    []*instance
	engines      []*engine
	faults       []fault
	calls        []call
	grants       []issuedGrant
	inFlight     map[sentKey]sentRequest
	trafficEnded bool
	requests     int

	version int64
	table   elector.Table
	members map[namer.Instance]tracker.Member
	// lastVisible and lastHidden are when updatePlatformList last found an instance reachable or unreachable; dropped holds
	// the instances that the platform's list lacks.
	lastVisible map[namer.Instance]time.Duration
	dropped     map[namer.Instance]bool
	lastHidden  map[namer.Instance]time.Duration
	tableWrites int
	// extraDemand is added to the demand that recipients report, so that they get the largest possible quotas.
	extraDemand int
	started     int
}

type engine struct {
	index     int
	id        namer.Target
	fencing   bool
	boot      int
	bootName  string
	epoch     namer.Epoch
	coldUntil time.Duration
	running   map[namer.Request]*runningRequest
}

type runningRequest struct {
	request namer.Request
	holder  namer.Holder
	grantor namer.Holder
	epoch   namer.Epoch
	tokens  int
	oneOff  bool
	ends    time.Duration
}

type sentKey struct {
	request namer.Request
	target  int
}

// sentRequest is a request under quota that was sent and has not yet arrived at the engine.
type sentRequest struct {
	tokens int
	quota  quotaKey
}

// issuedGrant is a quota or a one-off reservation as its owner sent it.
type issuedGrant struct {
	// number is the number of the message that carried the quota.
	number    int64
	recipient *instance
	holder    namer.Holder
	owner     namer.Holder
	target    int
	epoch     namer.Epoch
	boot      string
	tokens    int
	expires   time.Time
	request   namer.Request
}

type instance struct {
	sim    *simulation
	index  int
	holder namer.Holder
	// clockRate is the rate of the instance's clock relative to real time.
	clockRate     float64
	alive         bool
	pausedUntil   time.Duration
	inbox         []func()
	el            *elector.Elector
	res           *reserver.Reserver
	allocs        []*allocator.Allocator
	shares        []float64
	number        int64
	nextTick      time.Time
	nextHeartbeat time.Time
	nextStore     time.Time
	nextList      time.Time
	attempts      map[namer.Request]*attempt
	owners        []namer.Holder
	boots         []string
	// heard is the highest heartbeat number received from each process; it is used if withholding of echoes is disabled.
	heard      map[namer.Holder]int64
	leaving    bool
	handedOver bool
	// exitAt is when a leaving instance stops.
	exitAt time.Duration
}

// attempt is one attempt of a request, on one target or on a group.
type attempt struct {
	targets []int
	tokens  int
	startAt time.Duration
	length  time.Duration
	granted bool
	aborted bool
	// asked and owners are the time of asking and the owner asked, of one-off reservations by target.
	asked  map[int]time.Time
	owners map[int]namer.Holder
	boots  map[int]string
	epochs map[int]namer.Epoch
}

var modelBase = time.Unix(1_000_000, 0)

func newSimulation(seed uint64, faults []fault, off disabled, instances int) *simulation {
	s := &simulation{
		disabled:    off,
		random:      rand.New(rand.NewPCG(seed, 1)),
		end:         60 * time.Second,
		faults:      faults,
		members:     map[namer.Instance]tracker.Member{},
		inFlight:    map[sentKey]sentRequest{},
		lastVisible: map[namer.Instance]time.Duration{},
		dropped:     map[namer.Instance]bool{},
		lastHidden:  map[namer.Instance]time.Duration{},
		table:       elector.Table{},
	}
	s.extraDemand = s.random.IntN(2) * modelCapacity
	for i := range 2 {
		s.engines = append(s.engines, &engine{
			index:    i,
			id:       namer.Target(fmt.Sprintf("t%d", i)),
			fencing:  i == 1,
			boot:     1,
			bootName: "1",
			running:  map[namer.Request]*runningRequest{},
		})
	}
	for i := range instances {
		n := &instance{
			sim:       s,
			index:     i,
			clockRate: 0.976 + 0.048*s.random.Float64(),
		}
		s.instances = append(s.instances, n)
		n.start("a")
	}
	sort.SliceStable(s.faults, func(i, j int) bool { return s.faults[i].At < s.faults[j].At })
	return s
}

func (n *instance) start(incarnation string) {
	n.holder = namer.Holder{
		Instance:    namer.Instance(fmt.Sprintf("i%d", n.index)),
		Incarnation: namer.Incarnation(incarnation),
	}
	n.alive = true
	n.pausedUntil = 0
	n.inbox = nil
	n.leaving, n.handedOver, n.exitAt = false, false, 0
	now := n.local()
	options := elector.DefaultOptions(n.holder)
	options.TickEvery = 2 * modelStep
	if n.sim.disabled.takeoverWait {
		options.PromiseValid = time.Millisecond
		options.QuotaValid = time.Millisecond
	}
	if n.sim.disabled.pauseDetection {
		options.PausedAfter = time.Hour
	}
	if n.sim.disabled.isolation {
		options.IsolatedAfter = time.Hour
		options.DisqualifiedAfter = time.Hour
	}
	if n.sim.disabled.requalification {
		options.DisqualifiedAfter = time.Hour
	}
	n.el = elector.New(options, now)
	n.res = reserver.New()
	n.allocs = nil
	n.number = 0
	n.shares = make([]float64, len(n.sim.engines))
	n.owners = make([]namer.Holder, len(n.sim.engines))
	n.boots = make([]string, len(n.sim.engines))
	n.attempts = map[namer.Request]*attempt{}
	n.heard = map[namer.Holder]int64{}
	for _, e := range n.sim.engines {
		n.allocs = append(n.allocs, n.sim.newAllocator(e))
	}
	n.nextTick, n.nextHeartbeat, n.nextStore, n.nextList = now, now, now, now
	var targets []elector.Target
	for _, e := range n.sim.engines {
		targets = append(targets, elector.Target{
			ID:      e.id,
			Fencing: e.fencing,
		})
	}
	n.handleElector(elector.TargetsRead{
		Targets: targets,
	})
}

func (s *simulation) newAllocator(e *engine) *allocator.Allocator {
	return allocator.New(allocator.Options{
		Target:         e.id,
		CapacityTokens: modelCapacity,
		PrefillTokens:  1 << 20,
		PrefillRate:    modelRate,
		Fencing:        e.fencing,
	})
}

func (n *instance) local() time.Time {
	return modelBase.Add(time.Duration(n.index)*time.Hour + time.Duration(float64(n.sim.now)*n.clockRate))
}

func (n *instance) paused() bool {
	return n.sim.now < n.pausedUntil
}

// deliver gives a message to the process it is addressed to, after the end of its pause if it is paused.
func (n *instance) deliver(to namer.Holder, run func()) {
	if !n.alive || n.holder != to {
		return
	}
	if n.paused() {
		n.inbox = append(n.inbox, run)
		return
	}
	run()
}

func (s *simulation) after(d time.Duration, run func()) {
	s.calls = append(s.calls, call{
		due: s.now + d,
		run: run,
	})
}

// delay returns a random message delay, short for most messages and long for a few, which then arrive out of order.
func (s *simulation) delay() time.Duration {
	if s.random.IntN(40) == 0 {
		return time.Duration(s.random.IntN(40)) * modelStep
	}
	return time.Duration(s.random.IntN(2)) * modelStep
}

func (s *simulation) active(kind faultKind, who int) bool {
	for _, f := range s.faults {
		if f.Kind == kind && f.At <= s.now && s.now < f.At+f.Length && (who < 0 || f.Who%len(s.instances) == who) {
			return true
		}
	}
	return false
}

func (s *simulation) storeReachable(n *instance) bool {
	return !s.active(faultStoreDown, -1) && !s.active(faultCutStore, n.index) && !s.active(faultCutBoth, n.index)
}

func (s *simulation) linked(a, b *instance) bool {
	for _, n := range []*instance{a, b} {
		if s.active(faultCutPeers, n.index) || s.active(faultCutBoth, n.index) {
			return false
		}
	}
	if s.active(faultCutAway, a.index) != s.active(faultCutAway, b.index) {
		return false
	}
	pair := min(a.index, b.index)
	return !s.active(faultCutPair, pair) || max(a.index, b.index) != pair+1
}

func (s *simulation) step() {
	s.now += modelStep
	for _, f := range s.faults {
		if f.At <= s.now && s.now-modelStep < f.At {
			s.inject(f)
		}
	}
	s.updatePlatformList()
	s.runCalls()
	for _, n := range s.instances {
		n.run()
	}
	for _, e := range s.engines {
		e.finish(s)
	}
}

func (s *simulation) runCalls() {
	due := s.calls
	s.calls = nil
	var later []call
	for _, c := range due {
		if c.due > s.now {
			later = append(later, c)
			continue
		}
		c.run()
	}
	s.calls = append(later, s.calls...)
}

func (s *simulation) inject(f fault) {
	n := s.instances[f.Who%len(s.instances)]
	switch f.Kind {
	case faultKill:
		n.alive = false
		s.after(f.Length, n.restart)
	case faultPause:
		if n.alive {
			n.pausedUntil = s.now + f.Length
		}
	case faultLeave:
		if n.alive {
			n.leaving = true
			s.after(f.Length+30*time.Second, func() { n.restart() })
		}
	case faultEngineRestart:
		e := s.engines[f.Who%len(s.engines)]
		e.boot++
		e.bootName = fmt.Sprint(e.boot)
		e.epoch = 0
		e.coldUntil = s.now + coldTime
		clear(e.running)
	}
}

func (n *instance) restart() {
	if !n.alive {
		n.start(fmt.Sprintf("r%d", n.sim.now/modelStep))
	}
}

// leave hands over the targets that the instance owns, waits for its requests to end and stops it.
func (n *instance) leave() {
	if n.exitAt == 0 {
		n.exitAt = n.sim.now + 30*time.Second
		n.handleElector(elector.Leave{})
	}
	if n.sim.now >= n.exitAt || (n.handedOver && len(n.attempts) == 0) {
		record := n.record(tracker.StateLeft)
		if n.handedOver {
			n.store(func() { n.sim.members[record.Holder.Instance] = record }, func(time.Time) {})
		}
		n.alive = false
	}
}

// updatePlatformList drops instances that neither the store nor any other instance could reach for unseenAfter.
func (s *simulation) updatePlatformList() {
	for _, n := range s.instances {
		id := n.holder.Instance
		visible := n.alive && !n.paused() && !s.active(faultCutBoth, n.index) &&
			(!s.active(faultCutPeers, n.index) || s.storeReachable(n))
		if s.disabled.dropRule {
			visible = n.alive && !n.paused() && !s.active(faultCutStore, n.index)
		}
		if visible {
			s.lastVisible[id] = s.now
			if s.now-s.lastHidden[id] >= listLag {
				s.dropped[id] = false
			}
			continue
		}
		s.lastHidden[id] = s.now
		if s.now-s.lastVisible[id] >= unseenAfter {
			s.dropped[id] = true
		}
	}
}

func (n *instance) run() {
	if !n.alive || n.paused() {
		return
	}
	inbox := n.inbox
	n.inbox = nil
	for _, m := range inbox {
		m()
	}
	now := n.local()
	if !now.Before(n.nextTick) {
		n.nextTick = now.Add(2*modelStep - modelStep/4)
		n.tick()
	}
	if !now.Before(n.nextHeartbeat) {
		n.nextHeartbeat = now.Add(time.Second)
		n.sendHeartbeats()
	}
	if !now.Before(n.nextStore) {
		n.nextStore = now.Add(3 * time.Second)
		n.renew()
	}
	if !now.Before(n.nextList) {
		n.nextList = now.Add(2 * time.Second)
		n.poll()
	}
	n.traffic()
	if n.leaving {
		n.leave()
	}
}

func (n *instance) tick() {
	n.handleElector(elector.Tick{})
	for i := range n.allocs {
		n.handleAllocator(i, allocator.Tick{})
	}
	n.handleReserver(reserver.Tick{})
	for i, e := range n.sim.engines {
		if owner, ok := n.el.Owner(e.id, n.local()); ok && owner != n.owners[i] {
			n.owners[i] = owner
			n.handleReserver(reserver.OwnerChanged{
				Target: e.id,
				Owner:  owner,
			})
		}
	}
}

func (n *instance) nextNumber() int64 {
	n.number++
	n.handleElector(elector.HeartbeatSent{
		Number: n.number,
	})
	return n.number
}

func (n *instance) echoes(to namer.Holder) []tracker.HeardNumber {
	echoes := n.el.Echoes(to, n.local())
	if !n.sim.disabled.withheldEcho {
		return echoes
	}
	echoes = nil
	for h, number := range n.heard {
		echoes = append(echoes, tracker.HeardNumber{
			Holder: h,
			Number: number,
		})
	}
	return echoes
}

type heartbeat struct {
	from    namer.Holder
	number  int64
	version int64
	heard   []tracker.HeardNumber
	demand  []reserver.Demand
	adopted int64
	quotas  []reserver.Quota
}

func (n *instance) compose(to namer.Holder) heartbeat {
	return heartbeat{
		from:    n.holder,
		number:  n.nextNumber(),
		version: n.el.TableVersion(),
		heard:   n.echoes(to),
		demand:  n.res.Demand(to, n.local()),
		adopted: n.res.LastAppliedMessage(to),
	}
}

// sendHeartbeats sends a heartbeat to each peer and grants quotas to its own instance.
func (n *instance) sendHeartbeats() {
	sent := n.local()
	number := n.nextNumber()
	own := n.quotas(n.res.Demand(n.holder, sent), n.res.LastAppliedMessage(n.holder), number, n, n.holder, sent)
	n.takeQuotas(n.holder, own, sent, number)
	for _, p := range n.sim.instances {
		if p == n {
			continue
		}
		n.sendHeartbeat(p, sent)
	}
}

func (n *instance) sendHeartbeat(p *instance, sent time.Time) {
	from, to := n.holder, p.holder
	b := n.compose(to)
	n.sim.after(n.sim.delay(), func() {
		if !n.sim.linked(n, p) {
			return
		}
		p.deliver(to, func() {
			p.hear(b)
			answer := p.compose(from)
			answer.quotas = p.quotas(b.demand, b.adopted, answer.number, n, from, sent)
			p.sim.after(p.sim.delay(), func() {
				if !p.sim.linked(n, p) {
					return
				}
				n.deliver(from, func() {
					n.hear(answer)
					n.takeQuotas(to, answer.quotas, sent, answer.number)
				})
			})
		})
	})
}

func (n *instance) hear(b heartbeat) {
	n.heard[b.from] = max(n.heard[b.from], b.number)
	version := b.version
	if n.sim.disabled.echoVersion {
		version = n.el.TableVersion()
	}
	n.handleElector(elector.HeartbeatReceived{
		From:         b.from,
		State:        tracker.StateServing,
		Number:       b.number,
		TableVersion: version,
		Echoes:       b.heard,
	})
}

// quotas grants quotas to a recipient and records them until they expire on the recipient's clock.
func (n *instance) quotas(demand []reserver.Demand, adopted, number int64, to *instance, holder namer.Holder, sent time.Time) []reserver.Quota {
	reported := map[namer.Target]reserver.Demand{}
	for _, d := range demand {
		reported[d.Target] = d
	}
	for i := range n.allocs {
		d := reported[n.sim.engines[i].id]
		n.handleAllocator(i, allocator.DemandReported{
			From:         holder,
			UsedTokens:   d.UsedTokens,
			WantedTokens: d.WantedTokens + n.sim.extraDemand,
			Adopted:      adopted,
		})
	}
	var quotas []reserver.Quota
	for i := range n.allocs {
		if n.shares[i] == 0 {
			continue
		}
		for _, a := range n.handleAllocator(i, allocator.QuotaAsked{To: holder, Number: number}) {
			g, ok := a.(allocator.GrantQuota)
			if !ok {
				continue
			}
			quotas = append(quotas, reserver.Quota{
				Target:        g.Target,
				Epoch:         g.Epoch,
				Boot:          g.Boot,
				MemoryTokens:  g.MemoryTokens,
				PrefillTokens: g.PrefillTokens,
				Valid:         g.Valid,
			})
			n.sim.issue(issuedGrant{
				recipient: to,
				holder:    holder,
				owner:     n.holder,
				target:    i,
				epoch:     g.Epoch,
				boot:      g.Boot,
				tokens:    g.MemoryTokens,
				expires:   sent.Add(g.Valid),
				number:    number,
			})
		}
	}
	return quotas
}

func (s *simulation) issue(g issuedGrant) {
	if g.tokens > 0 {
		s.grants = append(s.grants, g)
	}
}

func (n *instance) takeQuotas(from namer.Holder, quotas []reserver.Quota, sent time.Time, number int64) {
	if len(quotas) == 0 {
		return
	}
	if n.sim.disabled.sentTimeExpiry {
		sent = n.local()
	}
	n.handleReserver(reserver.QuotasReceived{
		From:      from,
		Number:    number,
		Requested: sent,
		Quotas:    quotas,
	})
}

func (n *instance) record(state tracker.State) tracker.Member {
	return tracker.Member{
		Holder:       n.holder,
		State:        state,
		DataCentre:   namer.DataCentre(fmt.Sprint(n.index % 3)),
		Number:       n.nextNumber(),
		TableVersion: n.el.TableVersion(),
		Heard:        n.echoes(namer.Holder{}),
	}
}

// renew writes the member record and reads the member records, the platform's list and the table.
func (n *instance) renew() {
	state := tracker.StateServing
	if n.leaving {
		state = tracker.StateLeaving
	}
	record := n.record(state)
	n.store(func() { n.sim.members[record.Holder.Instance] = record }, func(time.Time) {})
	var members []tracker.Member
	n.store(func() {
		members = members[:0]
		for _, p := range n.sim.instances {
			if m, ok := n.sim.members[p.holder.Instance]; ok {
				members = append(members, m)
			}
		}
	}, func(sent time.Time) {
		n.handleElector(elector.MembersRead{
			Requested: sent,
			Members:   members,
		})
	})
	var listed []namer.Instance
	n.store(func() {
		for _, p := range n.sim.instances {
			if !n.sim.dropped[p.holder.Instance] {
				listed = append(listed, p.holder.Instance)
			}
		}
	}, func(sent time.Time) {
		n.handleElector(elector.InstancesListed{
			Requested: sent,
			Instances: listed,
		})
	})
	n.readTable()
}

// store runs a call at the store and its answer at the instance, unless a fault loses either.
func (n *instance) store(run func(), answer func(sent time.Time)) {
	sent := n.local()
	holder := n.holder
	n.sim.after(n.sim.delay(), func() {
		if !n.sim.storeReachable(n) {
			return
		}
		run()
		n.sim.after(n.sim.delay(), func() {
			if n.sim.storeReachable(n) && !n.sim.active(faultLoseAnswers, -1) {
				n.deliver(holder, func() { answer(sent) })
			}
		})
	})
}

func (n *instance) readTable() {
	var version int64
	var table elector.Table
	n.store(func() {
		version = n.sim.version
		table = n.sim.table
	}, func(sent time.Time) {
		n.handleElector(elector.TableRead{
			Requested: sent,
			Version:   version,
			Table:     table,
		})
	})
}

func (n *instance) writeTable(v elector.WriteTable) {
	outcome := elector.WriteConflict
	answered := false
	var version int64
	end := func(o elector.WriteOutcome) {
		if !answered {
			answered = true
			n.handleElector(elector.WriteAnswered{
				WriteNumber: v.Table.WriteNumber,
				Outcome:     o,
				Version:     version,
			})
		}
	}
	n.store(func() {
		if n.sim.version == v.Version {
			n.sim.version++
			n.sim.table = v.Table
			version = n.sim.version
			outcome = elector.WriteDone
			n.sim.tableWrites++
		}
	}, func(time.Time) { end(outcome) })
	holder := n.holder
	n.sim.after(storeTimeout, func() {
		n.deliver(holder, func() { end(elector.WriteUnknown) })
	})
}

func (n *instance) handleElector(event elector.Event) {
	for _, a := range n.el.Handle(event, n.local()) {
		switch v := a.(type) {
		case elector.WriteTable:
			n.writeTable(v)
		case elector.ReadTable:
			n.readTable()
		case elector.FenceTarget:
			n.fence(v)
		case elector.SetAuthority:
			n.setAuthority(v)
		case elector.HandoverDone:
			n.handedOver = true
		}
	}
}

func (n *instance) setAuthority(v elector.SetAuthority) {
	for i, e := range n.sim.engines {
		if e.id != v.Target {
			continue
		}
		n.shares[i] = v.Share
		given := allocator.AuthorityGiven{
			Share: v.Share,
			Epoch: v.Epoch,
			Until: v.Until,
		}
		if n.sim.disabled.keptAllocator {
			given.KnownBoot, given.KnownWarm = n.boots[i], 1
			if v.Share == 0 {
				n.allocs[i] = n.sim.newAllocator(e)
			}
		}
		n.handleAllocator(i, given)
	}
}

func (n *instance) fence(v elector.FenceTarget) {
	holder := n.holder
	n.sim.after(n.sim.delay(), func() {
		for _, e := range n.sim.engines {
			if e.id != v.Target {
				continue
			}
			accepted := v.Epoch >= e.epoch
			e.epoch = max(e.epoch, v.Epoch)
			boot := e.bootID()
			n.sim.after(n.sim.delay(), func() {
				n.deliver(holder, func() {
					n.handleElector(elector.FenceAnswered{
						Target:   v.Target,
						Epoch:    v.Epoch,
						Boot:     boot,
						Accepted: accepted,
					})
				})
			})
		}
	})
}

func (e *engine) bootID() string {
	return e.bootName
}

// poll asks the engines for their lists and load reports.
func (n *instance) poll() {
	for i, e := range n.sim.engines {
		if n.shares[i] > 0 || n.boots[i] == "" || n.sim.random.IntN(2) == 0 {
			n.pollEngine(i, e)
		}
	}
}

func (n *instance) pollEngine(i int, e *engine) {
	sent := n.local()
	holder := n.holder
	n.sim.after(n.sim.delay(), func() {
		boot := e.bootID()
		cold := n.sim.now < e.coldUntil
		list := e.list()
		n.sim.after(n.sim.delay(), func() {
			n.deliver(holder, func() { n.receiveList(i, e, sent, boot, cold, list) })
		})
	})
}

func (n *instance) receiveList(i int, e *engine, sent time.Time, boot string, cold bool, list []allocator.RunningRequest) {
	if boot != n.boots[i] {
		n.boots[i] = boot
		n.handleElector(elector.BootSeen{
			Target: e.id,
			Boot:   boot,
		})
		n.handleReserver(reserver.TargetRestarted{
			Target: e.id,
			Boot:   boot,
		})
	}
	requested := sent
	if n.sim.disabled.freshList {
		requested = n.local()
	}
	for _, p := range n.sim.instances {
		n.reportReplaced(i, p.holder, list)
	}
	n.handleAllocator(i, allocator.RequestsListed{
		Boot:      boot,
		Requested: requested,
		Requests:  list,
	})
	n.handleAllocator(i, allocator.LoadReported{
		Boot: boot,
		Age:  n.local().Sub(sent),
		Cold: cold,
	})
}

// reportReplaced reports to the allocator the holders that a newer process of the same instance has replaced.
func (n *instance) reportReplaced(i int, current namer.Holder, list []allocator.RunningRequest) {
	for _, q := range list {
		if q.Holder.Instance == current.Instance && q.Holder != current {
			n.handleAllocator(i, allocator.HolderLost{
				Holder: q.Holder,
			})
		}
	}
}

func (e *engine) list() []allocator.RunningRequest {
	list := make([]allocator.RunningRequest, 0, len(e.running))
	for _, r := range e.running {
		list = append(list, allocator.RunningRequest{
			Request:        r.request,
			Holder:         r.holder,
			Epoch:          r.epoch,
			ReservedTokens: r.tokens,
			ProducedTokens: 1,
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Request < list[j].Request })
	return list
}

func (n *instance) handleAllocator(i int, event allocator.Event) []allocator.Action {
	actions := n.allocs[i].Handle(event, n.local())
	for _, a := range actions {
		switch v := a.(type) {
		case allocator.CancelRequest:
			if !n.sim.disabled.reconciliation {
				delete(n.sim.engines[i].running, v.Request)
			}
		case allocator.ConfirmRequests:
			n.confirm(i, v)
		case allocator.GrantReservation:
			n.answerReserve(i, v.To, reserver.OwnerAnswered{
				Owner:   n.holder,
				Request: v.Request,
				Target:  v.Target,
				Granted: true,
				Epoch:   v.Epoch,
				Boot:    v.Boot,
				Valid:   v.Valid,
			})
		case allocator.DenyReservation:
			n.answerReserve(i, v.To, reserver.OwnerAnswered{
				Owner:   n.holder,
				Request: v.Request,
				Target:  v.Target,
				Reason:  v.Reason,
			})
		}
	}
	return actions
}

func (n *instance) confirm(i int, v allocator.ConfirmRequests) {
	p := n.sim.byName(v.Holder.Instance)
	from := n.holder
	n.sim.after(n.sim.delay(), func() {
		if !n.sim.linked(n, p) {
			return
		}
		p.deliver(v.Holder, func() {
			var unknown []namer.Request
			for _, id := range v.Requests {
				if !p.res.HasAttempt(id) {
					unknown = append(unknown, id)
				}
			}
			n.sim.after(n.sim.delay(), func() {
				n.deliver(from, func() {
					n.handleAllocator(i, allocator.RequestsNotKnown{
						Holder:   v.Holder,
						Requests: unknown,
					})
				})
			})
		})
	})
}

func (s *simulation) byName(id namer.Instance) *instance {
	for _, n := range s.instances {
		if n.holder.Instance == id {
			return n
		}
	}
	return nil
}

func (n *instance) answerReserve(i int, to namer.Holder, answer reserver.OwnerAnswered) {
	p := n.sim.byName(to.Instance)
	if answer.Granted && p.holder == to {
		if t, ok := p.attempts[answer.Request]; ok {
			n.sim.issue(issuedGrant{
				recipient: p,
				holder:    to,
				owner:     n.holder,
				target:    i,
				epoch:     answer.Epoch,
				boot:      answer.Boot,
				tokens:    t.tokens,
				expires:   t.asked[i].Add(answer.Valid),
				request:   answer.Request,
			})
		}
	}
	n.sim.after(n.sim.delay(), func() {
		if p == n || n.sim.linked(n, p) {
			p.deliver(to, func() { p.handleReserver(answer) })
		}
	})
}

func (n *instance) handleReserver(event reserver.Event) {
	for _, a := range n.res.Handle(event, n.local()) {
		switch v := a.(type) {
		case reserver.AskOwner:
			n.ask(v)
		case reserver.ReleaseAtOwner:
			n.releaseAt(v)
		case reserver.Granted:
			if t := n.attempts[v.Request]; t != nil {
				t.granted = true
				t.startAt = n.sim.now + time.Duration(n.sim.random.IntN(24))*modelStep
				for i, target := range t.targets {
					t.boots[target] = v.Grants[i].Boot
					t.epochs[target] = v.Grants[i].Epoch
				}
			}
		case reserver.Refused:
			delete(n.attempts, v.Request)
		case reserver.TargetLost:
			n.abort(v.Request)
		case reserver.StartAllowed:
			n.send(v)
		case reserver.StartDenied:
			n.abort(v.Request)
		}
	}
}

func (s *simulation) engineOf(id namer.Target) *engine {
	for _, e := range s.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// abort ends an attempt on all its engines before its memory is released.
func (n *instance) abort(id namer.Request) {
	for _, e := range n.sim.engines {
		delete(e.running, id)
	}
	if t := n.attempts[id]; t != nil {
		t.aborted = true
	}
	n.handleReserver(reserver.Release{
		Request: id,
		Exit:    reserver.Failed,
	})
	delete(n.attempts, id)
}

func (n *instance) ask(v reserver.AskOwner) {
	i := n.sim.engineOf(v.Target).index
	t := n.attempts[v.Request]
	t.owners[i] = v.Owner
	t.asked[i] = n.local()
	p := n.sim.byName(v.Owner.Instance)
	from := n.holder
	n.sim.after(n.sim.delay(), func() {
		if p == n || n.sim.linked(n, p) {
			p.deliver(v.Owner, func() {
				p.handleAllocator(i, allocator.ReserveAsked{
					From:          from,
					Request:       v.Request,
					Tokens:        v.Tokens,
					PrefillTokens: v.PrefillTokens,
					Wait:          v.Wait,
				})
			})
		}
	})
}

// releaseAt sends a release and repeats it until it arrives or the owner is gone.
func (n *instance) releaseAt(v reserver.ReleaseAtOwner) {
	n.sim.dropReservation(v.Request, n.sim.engineOf(v.Target).index)
	p := n.sim.byName(v.Owner.Instance)
	from := n.holder
	n.sim.after(n.sim.delay(), func() {
		if p.holder != v.Owner || n.holder != from {
			return
		}
		if p != n && !n.sim.linked(n, p) {
			n.releaseAt(v)
			return
		}
		p.deliver(v.Owner, func() {
			for i, e := range n.sim.engines {
				if e.id == v.Target {
					p.handleAllocator(i, allocator.Released{
						From:    from,
						Request: v.Request,
					})
				}
			}
		})
	})
}

// traffic creates new attempts and starts those that are due.
func (n *instance) traffic() {
	s := n.sim
	if !s.trafficEnded && !n.leaving && s.random.IntN(3) == 0 {
		n.newAttempt()
	}
	for _, id := range n.sortedAttempts() {
		t := n.attempts[id]
		if t == nil || !t.granted || t.startAt > s.now {
			continue
		}
		t.granted = false
		for _, i := range t.targets {
			boot := s.engines[i].bootID()
			if s.disabled.bootCheck {
				boot = t.boots[i]
			}
			if s.disabled.startCheck {
				n.send(reserver.StartAllowed{
					Request: id,
					Target:  s.engines[i].id,
					Epoch:   t.epochs[i],
				})
				continue
			}
			n.handleReserver(reserver.Start{
				Request: id,
				Target:  s.engines[i].id,
				Boot:    boot,
			})
		}
	}
}

func (n *instance) newAttempt() {
	s := n.sim
	s.requests++
	id := namer.Request(fmt.Sprintf("q%d", s.requests))
	t := &attempt{
		targets: []int{s.random.IntN(len(s.engines))},
		tokens:  500 + s.random.IntN(1+s.random.IntN(40_000)),
		length:  time.Duration(1+s.random.IntN(1+s.random.IntN(80))) * modelStep,
		asked:   map[int]time.Time{},
		owners:  map[int]namer.Holder{},
		boots:   map[int]string{},
		epochs:  map[int]namer.Epoch{},
	}
	n.attempts[id] = t
	prefill := min(t.tokens, 100+s.random.IntN(20_000))
	wait := time.Duration(s.random.IntN(3)) * time.Second
	if s.random.IntN(8) > 0 {
		n.handleReserver(reserver.Reserve{
			Request:       id,
			Target:        s.engines[t.targets[0]].id,
			Tokens:        t.tokens,
			PrefillTokens: prefill,
			Wait:          wait,
		})
		return
	}
	t.targets = nil
	group := reserver.ReserveGroup{
		Request:       id,
		Tokens:        t.tokens,
		PrefillTokens: prefill,
		Wait:          wait,
	}
	for i, e := range s.engines {
		t.targets = append(t.targets, i)
		group.Targets = append(group.Targets, e.id)
	}
	n.handleReserver(group)
}

func (n *instance) sortedAttempts() []namer.Request {
	ids := make([]namer.Request, 0, len(n.attempts))
	for id := range n.attempts {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// send sends an attempt to its engine. It arrives one step later, even if its sender has stopped since, unless the
// sender aborted it or the engine restarted, which breaks the connection.
func (n *instance) send(v reserver.StartAllowed) {
	s := n.sim
	t := n.attempts[v.Request]
	e := s.engineOf(v.Target)
	boot := e.bootID()
	holder := n.holder
	owner, oneOff := t.owners[e.index]
	if !oneOff {
		owner = s.grantor(n, e.index, v.Epoch)
	}
	s.started++
	key := sentKey{
		request: v.Request,
		target:  e.index,
	}
	if !oneOff {
		s.inFlight[key] = sentRequest{
			tokens: t.tokens,
			quota: quotaKey{
				holder: holder,
				owner:  owner,
			},
		}
	}
	s.after(modelStep, func() {
		delete(s.inFlight, key)
		s.dropReservation(v.Request, e.index)
		if t.aborted || (boot != e.bootID() && !s.disabled.bootCheck) {
			return
		}
		if e.fencing && v.Epoch < e.epoch && !s.disabled.engineFencing {
			n.deliver(holder, func() { n.abort(v.Request) })
			return
		}
		e.epoch = max(e.epoch, v.Epoch)
		e.running[v.Request] = &runningRequest{
			request: v.Request,
			holder:  holder,
			epoch:   v.Epoch,
			tokens:  t.tokens,
			oneOff:  oneOff,
			ends:    s.now + t.length,
			grantor: owner,
		}
	})
}

// grantor returns the owner that granted the quota that a request uses.
func (s *simulation) grantor(n *instance, target int, epoch namer.Epoch) namer.Holder {
	for i := len(s.grants) - 1; i >= 0; i-- {
		g := s.grants[i]
		if g.holder == n.holder && g.target == target && g.epoch == epoch && g.request == "" {
			return g.owner
		}
	}
	return namer.Holder{}
}

// dropReservation removes a one-off reservation that its recipient started or released.
func (s *simulation) dropReservation(id namer.Request, target int) {
	kept := s.grants[:0]
	for _, g := range s.grants {
		if g.request != id || g.target != target {
			kept = append(kept, g)
		}
	}
	s.grants = kept
}

// finish ends requests at the engine and informs their holders, if paused after the pause.
func (e *engine) finish(s *simulation) {
	for _, q := range e.list() {
		id := q.Request
		r := e.running[id]
		if r == nil || r.ends > s.now {
			continue
		}
		// A request whose holder is gone stays at the engine until it is cancelled.
		n := s.byName(r.holder.Instance)
		if n.holder != r.holder || !n.alive {
			continue
		}
		for _, o := range s.engines {
			delete(o.running, id)
		}
		rate := float64(modelRate)
		if s.now < e.coldUntil {
			rate /= 5
		}
		n.deliver(r.holder, func() {
			n.handleReserver(reserver.Release{
				Request: id,
				Exit:    reserver.Finished,
			})
			delete(n.attempts, id)
		})
		boot := e.bootID()
		for _, o := range s.instances {
			o.deliver(o.holder, func() {
				o.handleAllocator(e.index, allocator.PrefillObserved{
					Boot: boot,
					Rate: rate,
				})
			})
		}
	}
}
