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

// Settings configure the placement.
type Settings struct {
	// ShortTokens and MediumTokens are the largest numbers of uncached tokens in their class.
	ShortTokens  int
	MediumTokens int
	// LongShare is the maximum share of a model's targets that run a long prefill at the same time.
	LongShare float64
	// ShortMemoryShare is the share of memory that is reserved for short requests.
	ShortMemoryShare float64
	// MaxHolders is the maximum number of candidates that cache a prefix; SampleSize is the number of other targets with room
	// at which sampling stops.
	MaxHolders int
	SampleSize int
	// MaxDraws is the maximum number of random draws for the sample.
	MaxDraws int
	// HintTTL is the lifetime of a prefix hint.
	HintTTL time.Duration
	// MaxHints is the maximum number of hints kept.
	MaxHints int
	// LongNotice is the delay between the choice of a target for a long prefill and its start. Within it,
	// the other instances learn of the prefill and stop placing short requests on the target.
	LongNotice time.Duration
	// LoadMaxAge is the age from which the mean of the model is used instead of a target's reported queue.
	LoadMaxAge time.Duration
	// GroupShare is the maximum share of a target's memory that a member of a group uses.
	GroupShare float64
	// BlockTokens is the number of tokens in a block of a prefix.
	BlockTokens int
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		ShortTokens:      8_000,
		MediumTokens:     64_000,
		LongShare:        1.0 / 3,
		ShortMemoryShare: 0.15,
		MaxHolders:       4,
		SampleSize:       8,
		MaxDraws:         24,
		HintTTL:          30 * time.Second,
		MaxHints:         200_000,
		LongNotice:       1500 * time.Millisecond,
		LoadMaxAge:       3 * time.Second,
		GroupShare:       0.8,
		BlockTokens:      512,
	}
}

// Target holds the fields of a target's record that placement uses.
type Target struct {
	ID             namer.Target
	Model          namer.Model
	DataCentre     namer.DataCentre
	CapacityTokens int
	GroupContext   bool
}

// Summary is the load of a target as last reported by its owner.
type Summary struct {
	Target       namer.Target
	FreeTokens   int
	QueueTokens  int
	WarmPercent  int
	LongPrefills int
	// At is the time of the measurement by the clock of this instance.
	At time.Time
}

// Quota returns the memory and prefill tokens that this instance may still place on a target without a reservation.
type Quota interface {
	Unused(target namer.Target) (memory, prefill int)
}

// Estimator predicts the cost of a request on a target.
type Estimator interface {
	Estimate(r estimator.Request, target namer.Target, load estimator.Load) estimator.Estimate
}

// Request holds the fields of a request that placement uses.
type Request struct {
	ID           namer.Request
	Model        namer.Model
	PromptTokens int
	OutputTokens int
	// Prefix holds the hashes of the prompt's prefixes of one, two and more whole blocks, shortest first.
	Prefix []uint64
	// Exclude lists targets on which this request has already failed.
	Exclude []namer.Target
	// MayWait allows the choice of a target without enough free memory, where the reservation waits at the owner.
	// Otherwise smaller requests could starve a large one.
	MayWait bool
	// TimeLeft is the time until the deadline; targets that are predicted to take longer are chosen last. 0 means no deadline.
	TimeLeft time.Duration
}

// Tokens returns the peak memory of the request in tokens.
func (r Request) Tokens() int {
	return r.PromptTokens + r.OutputTokens
}

// Decision is the result of Place: SingleTarget, Group, NoRoom or Unplaceable.
type Decision interface {
	decision()
}

// SingleTarget is the decision to place the request on one target.
type SingleTarget struct {
	Target   namer.Target
	Class    Class
	Estimate estimator.Estimate
	// CachedTokens is the number of prompt tokens that are expected in the target's cache.
	CachedTokens int
	// UncachedTokens is the number of prompt tokens to prefill.
	UncachedTokens int
	// NeedsReservation is set if the memory must be reserved at the target's owner: the request exceeds the quota or is long.
	NeedsReservation bool
	// Waits is set if the reservation must wait at the owner for free memory.
	Waits bool
	// Notice is the delay after this decision before the request may be sent; Estimate includes it in Wait.
	Notice time.Duration
}

// Group is the decision for several targets that hold one prompt together.
type Group struct {
	// Members are in ascending order of target id, which is the order of their reservations.
	Members []Member
	// Estimate is the estimate for rank 0; the members share the prefill.
	Estimate estimator.Estimate
	// Waits is set if reservations must wait at the owners for free memory.
	Waits bool
	// Notice is the delay after this decision before the parts may be sent.
	Notice time.Duration
}

// Member is a target of a group and the memory to reserve on it.
type Member struct {
	Target namer.Target
	Tokens int
}

// NoRoom is the decision when no target has room for the request at present.
type NoRoom struct {
	NeededTokens int
	// FreeTokens is the most free memory on any candidate.
	FreeTokens int
	Class      Class
	// Estimate is the estimate with the shortest total time on any candidate, regardless of its free memory.
	Estimate estimator.Estimate
}

// Unplaceable is the decision when the targets in service can't hold the request even when idle.
type Unplaceable struct {
	NeededTokens int
	// Targets is the number of targets in service for the model.
	Targets int
}

func (SingleTarget) decision() {}
func (Group) decision()        {}
func (NoRoom) decision()       {}
func (Unplaceable) decision()  {}

// Distance returns the one-way network delay to a data centre.
type Distance func(namer.DataCentre) time.Duration

// New returns a placer without targets; random draws the samples of candidates.
func New(settings Settings, estimates Estimator, quota Quota, distance Distance, random *rand.Rand) *Placer {
	return &Placer{
		settings:  settings,
		estimator: estimates,
		quota:     quota,
		distance:  distance,
		random:    random,
		targets:   map[namer.Target]*targetState{},
		pools:     map[namer.Model]*pool{},
		running:   map[namer.Request]*placement{},
		hints:     newHints(settings),
	}
}
