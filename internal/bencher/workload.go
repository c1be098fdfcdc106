package bencher

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/placer"
)

// The workload. One prompt in fifty is over 100,000 tokens, with a Pareto tail up to a million; the
// others are log-normal. The mean prompt is about 6,000 tokens and the mean answer 300, which keeps
// an engine at about a third of its prefill rate and half of its memory at 3.67 requests/s.
const (
	requestsPerEngine = 3.67
	longShare         = 0.02
	longTail          = 2.5
	longStart         = 100_000
	longest           = 1_000_000
	otherMedian       = 2_200
	otherSigma        = 0.9
	shortest          = 1_000
	outputBound       = 512
	outputMinimum     = 88
	// templateShare of the other prompts start with one of the customer's templates, archiveShare of
	// the long ones with half of one of the customer's archives.
	templateShare  = 0.5
	templateBlocks = 2
	templates      = 4
	archiveShare   = 0.3
	archives       = 2
	// Deadlines grow with the prompt.
	deadlineBase      = 30 * time.Second
	deadlinePerSecond = 5_000 // tokens
)

// weights are the shares of ten customers in the requests; three are large.
var weights = []float64{0.3, 0.2, 0.15, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05}

const model namer.Model = "general"

// request is one request of the workload and what became of it.
type request struct {
	id       namer.Request
	customer int
	at       time.Duration
	prompt   int
	produce  int
	bound    int
	prefix   []uint64
	patience time.Duration
	// reader is set for requests whose caller reads nothing or, in the comparison, everything.
	reader bool

	class    placer.Class // by the whole prompt
	instance int
	admitted bool
	cached   int // by the engine
	refused  string
	failed   bool
	first    time.Duration // from arrival, at the caller
	done     time.Duration
	finished bool
	held     bool
	targets  []*engine
}

func (r *request) inTime() bool {
	return r.finished && r.done <= r.patience
}

func customerName(number int) namer.Customer {
	return namer.Customer(fmt.Sprintf("customer-%d", number))
}

// generate draws the requests of a run.
func generate(random *rand.Rand, rate float64, length time.Duration, instances int) []*request {
	var all []*request
	at := 0.0
	for {
		at += random.ExpFloat64() / rate
		if at > length.Seconds() {
			return all
		}
		r := &request{
			id:       namer.Request(fmt.Sprintf("r%d", len(all))),
			at:       time.Duration(at * float64(time.Second)),
			customer: pick(random, weights),
			produce:  outputMinimum + random.IntN(outputBound-outputMinimum+1),
			bound:    outputBound,
			instance: random.IntN(instances),
		}
		draw(random, r)
		all = append(all, r)
	}
}

func draw(random *rand.Rand, r *request) {
	base := uint64(r.customer+1) << 32
	shared := 0
	if random.Float64() < longShare {
		// Inverse of the distribution function of a Pareto tail cut off at the longest prompt.
		cut := 1 - math.Pow(float64(longStart)/longest, longTail)
		r.prompt = min(int(longStart*math.Pow(1-random.Float64()*cut, -1/longTail)), longest)
		if random.Float64() < archiveShare {
			shared = r.prompt / 2 / blockTokens
			base |= uint64(random.IntN(archives)+1) << 24
		}
	} else {
		r.prompt = int(otherMedian * math.Exp(otherSigma*random.NormFloat64()))
		r.prompt = min(max(r.prompt, shortest), longStart)
		if random.Float64() < templateShare && r.prompt > (templateBlocks+1)*blockTokens {
			shared = templateBlocks
			base |= uint64(random.IntN(templates)+1) << 16
		}
	}
	for block := range r.prompt / blockTokens {
		if block < shared {
			r.prefix = append(r.prefix, base+uint64(block)+1)
		} else {
			r.prefix = append(r.prefix, random.Uint64()|1<<63)
		}
	}
	r.patience = deadlineBase + time.Duration(float64(r.prompt)/deadlinePerSecond*float64(time.Second))
	settings := placer.DefaultSettings()
	switch {
	case r.prompt <= settings.ShortTokens:
		r.class = placer.Short
	case r.prompt <= settings.MediumTokens:
		r.class = placer.Medium
	default:
		r.class = placer.Long
	}
}

func pick(random *rand.Rand, shares []float64) int {
	left := random.Float64()
	for i, share := range shares {
		left -= share
		if left < 0 {
			return i
		}
	}
	return len(shares) - 1
}
