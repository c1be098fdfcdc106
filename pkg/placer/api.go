package placer

import (
	"math/rand/v2"
	"time"

	"bergamothollow.example/bergamothollow/pkg/estimator"
	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Class is the length class of a request; its value is the priority sent to engines.
type Class int

// The length classes.
const (
	Short Class = iota
	Medium
	Long
)

// String returns the name of the class.
func (c Class) String() string {
	return [...]string{"short", "medium", "long"}[c]
}

// Settings are the constants of placement.
type Settings struct {
	// ShortTokens and MediumTokens are the most uncached tokens of their class.
	ShortTokens  int
	MediumTokens int
	// LongShare is the largest share of a model's targets with a long prefill at one time.
	LongShare float64
	// ShortMemoryShare is the share of memory that only short requests may hold.
	ShortMemoryShare float64
	// MaxHolders and SampleSize bound the candidates.
	MaxHolders int
	SampleSize int
	// MaxDraws bounds the random draws for the sample.
	MaxDraws int
	// HintTTL is how long a prefix hint is believed.
	HintTTL time.Duration
	// MaxHints bounds the memory of hints.
	MaxHints int
	// LongNotice is the time between the choice of a target for a long prefill and its start. In it
	// the other instances learn of the prefill and stop placing short requests beside it.
	LongNotice time.Duration
	// LoadMaxAge is the age at which a summary says no more than the mean of the model.
	LoadMaxAge time.Duration
	// GroupShare is the share of a target's memory that one member of a group may use.
	GroupShare float64
	// BlockTokens is the length of one block of a prefix.
	BlockTokens int
}

// DefaultSettings returns the settings of the design.
func DefaultSettings() Settings {
	return Settings{
		ShortTokens:      8_000,
		MediumTokens:     64_000,
		LongShare:        1.0 / 3,
		ShortMemoryShare: 0.15,
		MaxHolders:       4,
		SampleSize:       8,
		MaxDraws:         24,
		HintTTL:         30 * time.Second,
		MaxHints:         200_000,
		LongNotice:       1500 * time.Millisecond,
		LoadMaxAge:         3 * time.Second,
		GroupShare:       0.8,
		BlockTokens:      512,
	}
}

// Target is what placement needs of a target's record.
type Target struct {
	ID             namer.Target
	Model          namer.Model
	DataCentre     namer.DataCentre
	CapacityTokens int
	GroupContext   bool
}

// Summary is the load of a target as its owner last saw it.
type Summary struct {
	Target       namer.Target
	FreeTokens   int
	QueueTokens  int
	WarmPercent  int
	LongPrefills int
	// At is the time at which the load was measured, on the clock of this instance.
	At time.Time
}

// Quota tells what this instance may still place on a target without asking its owner.
type Quota interface {
	Room(target namer.Target) (memory, prefill int)
}

// Estimator predicts the cost of a request on a target.
type Estimator interface {
	Estimate(r estimator.Request, target namer.Target, load estimator.Load) estimator.Estimate
}

// Request is what placement needs of a request.
type Request struct {
	ID           namer.Request
	Model        namer.Model
	PromptTokens int
	OutputTokens int
	// Prefix holds the hash of each prefix of the prompt that ends at a block, shortest first.
	Prefix []uint64
	// Exclude lists targets that already failed this request.
	Exclude []namer.Target
	// MayWait allows a choice without free memory, for a reservation that waits at the owner.
	// Without it a large request could be overtaken by smaller ones for ever.
	MayWait bool
	// TimeLeft is the time left; targets that are predicted to take longer come last. 0 means no limit.
	TimeLeft time.Duration
}

// Tokens returns the memory that the request holds at its peak.
func (r Request) Tokens() int {
	return r.PromptTokens + r.OutputTokens
}

// Decision is the result of Place: Chosen, Group, NoRoom or Never.
type Decision interface {
	decision()
}

// Chosen names the target of a request.
type Chosen struct {
	Target   namer.Target
	Class    Class
	Estimate estimator.Estimate
	// CachedTokens is the part of the prompt believed to be cached there.
	CachedTokens int
	// UncachedTokens is the prefill to account for.
	UncachedTokens int
	// NeedsReservation is set when the request exceeds the quota, so that the owner must be asked.
	NeedsReservation bool
	// Waits is set when the reservation must wait at the owner until memory is free.
	Waits bool
	// Notice is the time from this decision before which the request must not be sent; the estimate
	// includes it as wait.
	Notice time.Duration
}

// Group names the targets that hold one prompt together, in ascending order of id, which is the
// order in which to reserve them.
type Group struct {
	Members []Member
	// Estimate is that of rank 0; prefill is shared by all members.
	Estimate estimator.Estimate
	// Waits is set when reservations must wait at the owners until memory is free.
	Waits bool
	// Notice is the time from this decision before which the parts must not be sent.
	Notice time.Duration
}

// Member is one target of a group and the memory to reserve there.
type Member struct {
	Target namer.Target
	Tokens int
}

// NoRoom says that no target can take the request now.
type NoRoom struct {
	NeededTokens int
	// FreeTokens is the most memory seen free on a candidate.
	FreeTokens int
	Class      Class
	// Estimate is that of the best candidate, had it room.
	Estimate estimator.Estimate
}

// Never says that no target can ever take the request.
type Never struct {
	NeededTokens int
	// Targets is the number of targets in service for the model; 0 means none at all.
	Targets int
}

func (Chosen) decision() {}
func (Group) decision()  {}
func (NoRoom) decision() {}
func (Never) decision()  {}

// Distance returns the one-way delay to a data centre.
type Distance func(namer.DataCentre) time.Duration

// New returns a placer without targets; random is only used to draw samples.
func New(settings Settings, estimates Estimator, quota Quota, distance Distance, random *rand.Rand) *Placer {
	return &Placer{
		settings:  settings,
		estimates: estimates,
		quota:     quota,
		distance:  distance,
		random:    random,
		targets:   map[namer.Target]*state{},
		models:    map[namer.Model]*pool{},
		running:   map[namer.Request]*placement{},
		hints:     newHints(settings),
	}
}
