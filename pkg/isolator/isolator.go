package isolator

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Settings are the tuning parameters of an isolator.
type Settings struct {
	// MinCrashes is the number of crashes at which a part counts as their cause, and SoundCrashes that for a part with which answers
	// have been completed before; a late crash counts half. MinRequests is the number of different requests that must have been
	// involved. TieCrashes is the number at which the part is chosen by its place in the prompt, if nothing else tells it from another
	// one.
	MinCrashes   int
	SoundCrashes int
	MinRequests  int
	TieCrashes   int
	// MinSpacing is the time between two crashes below which they count as one: engines that lose power together have the popular
	// parts in common.
	MinSpacing time.Duration
	// Settle is the time within which all instances report a crash.
	Settle time.Duration
	// Memory is how long crashes count. MaxCrashes and MaxSound limit how many crashes, and how many parts that have been answered,
	// are remembered.
	Memory     time.Duration
	MaxCrashes int
	MaxSound   int
	// Hold is how long a part is isolated at first. It doubles, up to MaxHold, each time that the part crashes an engine after that.
	Hold    time.Duration
	MaxHold time.Duration
	// MaxIsolated limits the number of isolated parts.
	MaxIsolated int
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		MinCrashes:   4,
		SoundCrashes: 8,
		MinRequests:  2,
		TieCrashes:   8,
		MinSpacing:   30 * time.Millisecond,
		Settle:       150 * time.Millisecond,
		Memory:       10 * time.Minute,
		MaxCrashes:   256,
		MaxSound:     8192,
		Hold:         10 * time.Minute,
		MaxHold:      4 * time.Hour,
		MaxIsolated:  256,
	}
}

// wholePrefix marks requests as a whole; the parts that callers name have no colon.
const wholePrefix = "request:"

// Whole returns the part that stands for a request as a whole, by a digest of what it asks for. It is judged as other parts are.
func Whole(digest string) namer.Part {
	return namer.Part(wholePrefix + digest)
}

func isWhole(p namer.Part) bool {
	return strings.HasPrefix(string(p), wholePrefix)
}

// Crash reports a request whose answer an engine was about to begin, or had begun, when it crashed.
type Crash struct {
	Engine namer.Target
	// Started distinguishes the runs of an engine under the same ID.
	Started time.Time
	Request namer.Request
	// Parts are the shared parts of the request's prompt, in order, and the request as a whole.
	Parts []namer.Part
	// Late is set if the answer had begun before the pass in which the engine crashed.
	Late bool
}

// Isolation says that requests with a part are kept away from engines.
type Isolation struct {
	Part namer.Part
	// Until is when requests with the part are tried again.
	Until time.Time
	// Hold is the length of the isolation.
	Hold time.Duration
}

// Isolator collects reports of crashes and of sound answers. It isn't safe for concurrent use.
type Isolator struct {
	settings Settings
	crashes  []*crash
	// sound and olderSound hold when an answer was last completed, by part, in two generations.
	sound      map[namer.Part]time.Time
	olderSound map[namer.Part]time.Time
	isolated   map[namer.Part]Isolation
}

// crash is one crash of an engine.
type crash struct {
	engine  namer.Target
	started time.Time
	at      time.Time
	// suspects are the parts of the requests that the engine was about to begin, and the requests that had them.
	suspects map[namer.Part]*suspect
	// decided is set once the crash counts.
	decided bool
	// explained is set if one of the requests had a part that is isolated.
	explained bool
}

// suspect is a part in the prompt of a request at a crash.
type suspect struct {
	requests map[namer.Request]bool
	// place is the part's greatest index in a prompt.
	place int
	// onset is set if the engine crashed at the beginning of an answer to one of the requests.
	onset bool
}

// New returns an isolator that has seen nothing.
func New(settings Settings) *Isolator {
	return &Isolator{
		settings:   settings,
		sound:      map[namer.Part]time.Time{},
		olderSound: map[namer.Part]time.Time{},
		isolated:   map[namer.Part]Isolation{},
	}
}

// Crashed records a crash; each request that was about to begin is reported, in any order.
func (i *Isolator) Crashed(now time.Time, c Crash) {
	if len(c.Parts) == 0 {
		return
	}
	known := i.crash(now, c)
	for place, p := range c.Parts {
		s := known.suspects[p]
		if s == nil {
			s = &suspect{
				requests: map[namer.Request]bool{},
			}
			known.suspects[p] = s
		}
		s.requests[c.Request] = true
		s.place = max(s.place, place)
		s.onset = s.onset || !c.Late
	}
}

// Decide returns the isolations that begin now. Crashes count once all instances have had time to report them.
func (i *Isolator) Decide(now time.Time) []Isolation {
	var begun []Isolation
	for _, k := range i.crashes {
		if k.decided || now.Sub(k.at) < i.settings.Settle {
			continue
		}
		k.decided = true
		if again, found := i.repeated(now, k); found {
			begun = append(begun, again)
			continue
		}
		for {
			p, found := i.cause()
			if !found {
				break
			}
			begun = append(begun, i.isolate(now, p, i.settings.Hold))
		}
	}
	return begun
}

// repeated isolates a part once more that has crashed an engine after its time was over.
func (i *Isolator) repeated(now time.Time, k *crash) (Isolation, bool) {
	for p := range k.suspects {
		known, found := i.isolated[p]
		if !found {
			continue
		}
		k.explained = true
		if !now.Before(known.Until) {
			return i.isolate(now, p, min(2*known.Hold, i.settings.MaxHold)), true
		}
	}
	return Isolation{}, false
}

// crash returns the record of the crash that a report is about.
func (i *Isolator) crash(now time.Time, c Crash) *crash {
	i.crashes = slices.DeleteFunc(i.crashes, func(k *crash) bool { return now.Sub(k.at) > i.settings.Memory })
	for _, k := range i.crashes {
		// One run of an engine crashes only once.
		if k.engine == c.Engine && k.started.Equal(c.Started) {
			return k
		}
	}
	if len(i.crashes) >= i.settings.MaxCrashes {
		i.crashes = slices.Delete(i.crashes, 0, 1)
	}
	k := &crash{
		engine:   c.Engine,
		started:  c.Started,
		at:       now,
		suspects: map[namer.Part]*suspect{},
	}
	i.crashes = append(i.crashes, k)
	return k
}

// Weights of a crash in the evidence against a part.
const (
	onsetWeight = 2
	lateWeight  = 1
)

// evidence is what speaks against a part.
type evidence struct {
	part namer.Part
	// weight is the sum of the weights of the crashes.
	weight int
	place  int
	sound  bool
}

// compare orders the likeliest cause first: the part with the greatest weight, then one that was never answered, then one that stands late
// in prompts, since fewer requests share it.
func (e evidence) compare(other evidence) int {
	if e.weight == other.weight && e.sound != other.sound {
		if e.sound {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(other.weight, e.weight), cmp.Compare(other.place, e.place), cmp.Compare(e.part, other.part))
}

// cause returns the part that has caused the crashes that aren't explained yet, if they show it.
func (i *Isolator) cause() (namer.Part, bool) {
	var list []evidence
	for p := range i.suspects() {
		e, requests := i.evidence(p)
		enough := i.settings.MinCrashes
		if e.sound {
			enough = i.settings.SoundCrashes
		}
		if e.weight >= onsetWeight*enough && requests >= i.settings.MinRequests {
			list = append(list, e)
		}
	}
	if len(list) == 0 {
		return "", false
	}
	slices.SortFunc(list, evidence.compare)
	first := list[0]
	if len(list) > 1 {
		second := list[1]
		distinct := first.weight > second.weight || second.sound && !first.sound
		if !distinct && first.weight < onsetWeight*i.settings.TieCrashes {
			return "", false
		}
	}
	return first.part, true
}

// counts reports whether a crash is evidence against the parts that were involved.
func (k *crash) counts() bool {
	return k.decided && !k.explained
}

// suspects returns the parts that were involved in crashes that count.
func (i *Isolator) suspects() map[namer.Part]bool {
	all := map[namer.Part]bool{}
	for _, k := range i.crashes {
		if !k.counts() {
			continue
		}
		for p := range k.suspects {
			all[p] = true
		}
	}
	return all
}

func (s *suspect) weight() int {
	if s.onset {
		return onsetWeight
	}
	return lateWeight
}

// evidence weighs the crashes that a part may have caused, and the requests with it.
func (i *Isolator) evidence(p namer.Part) (e evidence, requests int) {
	e.part = p
	e.sound = !i.lastSound(p).IsZero()
	involved := map[namer.Request]bool{}
	last := time.Time{}
	for _, k := range i.crashes {
		s := k.suspects[p]
		if s == nil || !k.counts() {
			continue
		}
		maps.Copy(involved, s.requests)
		e.place = max(e.place, s.place)
		if last.IsZero() || k.at.Sub(last) >= i.settings.MinSpacing {
			e.weight += s.weight()
			last = k.at
		}
	}
	return e, len(involved)
}

// Sound records that an engine has completed an answer to a prompt with the given parts: earlier crashes don't count against them, and
// they are no longer isolated. It returns the parts whose isolation ends.
func (i *Isolator) Sound(now time.Time, parts []namer.Part) []namer.Part {
	var ended []namer.Part
	for _, p := range parts {
		for _, k := range i.crashes {
			delete(k.suspects, p)
		}
		_, found := i.isolated[p]
		if found {
			delete(i.isolated, p)
			ended = append(ended, p)
		}
		// Most requests come once, and would push the parts out of the memory.
		if found || !isWhole(p) {
			i.remember(now, p)
		}
	}
	return ended
}

// remember notes that a part is sound; the older generation is dropped when the younger one is full.
func (i *Isolator) remember(now time.Time, p namer.Part) {
	if len(i.sound) >= i.settings.MaxSound {
		i.olderSound, i.sound = i.sound, map[namer.Part]time.Time{}
	}
	i.sound[p] = now
}

// lastSound returns when an answer with the part was last completed; it is zero if none is remembered.
func (i *Isolator) lastSound(p namer.Part) time.Time {
	if at, found := i.sound[p]; found {
		return at
	}
	return i.olderSound[p]
}

// isolate begins an isolation; crashes with the part are explained by it, and say nothing about other parts.
func (i *Isolator) isolate(now time.Time, p namer.Part, hold time.Duration) Isolation {
	isolation := Isolation{
		Part:  p,
		Until: now.Add(hold),
		Hold:  hold,
	}
	i.add(isolation)
	return isolation
}

// Add adds an isolation that another instance has begun, and reports whether it changes anything. One is left out if an answer with the
// part has been completed since.
func (i *Isolator) Add(added Isolation) bool {
	if i.lastSound(added.Part).After(added.Until.Add(-added.Hold)) {
		return false
	}
	if known, found := i.isolated[added.Part]; found && !added.Until.After(known.Until.Add(addTolerance)) {
		return false
	}
	i.add(added)
	return true
}

// addTolerance is the difference up to which two ends of an isolation count as the same: instances tell each other the time that is
// left.
const addTolerance = time.Minute

func (i *Isolator) add(added Isolation) {
	if _, found := i.isolated[added.Part]; !found && len(i.isolated) >= i.settings.MaxIsolated {
		first := slices.MinFunc(i.Isolations(), func(a, b Isolation) int { return a.Until.Compare(b.Until) })
		delete(i.isolated, first.Part)
	}
	i.isolated[added.Part] = added
	for _, k := range i.crashes {
		if k.suspects[added.Part] != nil {
			k.explained = true
		}
	}
}

// Replace replaces the isolations by those of the instance that decides, and reports whether that changes anything.
func (i *Isolator) Replace(list []Isolation) bool {
	changed := len(list) != len(i.isolated)
	gone := maps.Clone(i.isolated)
	for _, l := range list {
		delete(gone, l.Part)
		changed = i.Add(l) || changed
	}
	for p := range gone {
		delete(i.isolated, p)
	}
	return changed
}

// Until returns the end of the isolation of one of the parts, if any is isolated now.
func (i *Isolator) Until(now time.Time, parts []namer.Part) (time.Time, bool) {
	for _, p := range parts {
		if known, found := i.isolated[p]; found && now.Before(known.Until) {
			return known.Until, true
		}
	}
	return time.Time{}, false
}

// Isolations returns the isolations, ordered by part; those whose time is over are kept for the case that the part crashes an engine
// again.
func (i *Isolator) Isolations() []Isolation {
	list := slices.Collect(maps.Values(i.isolated))
	slices.SortFunc(list, func(a, b Isolation) int { return cmp.Compare(a.Part, b.Part) })
	return list
}
