package bencher

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/placer"
)

// Parameters of the workload. One prompt in fifty is longer than 100,000 tokens, with a Pareto tail up
// to a million; the lengths of the others are log-normal. The mean prompt has about 6,000 tokens and the
// mean answer 300, so that an engine uses about a third of its prefill rate and half of its memory at
// 3.67 requests/s.
const (
	requestRatePerEngine = 3.67
	longShare            = 0.02
	longParetoShape      = 2.5
	longPromptTokens     = 100_000
	maxPromptTokens      = 1_000_000
	otherMedianTokens    = 2_200
	otherSigma           = 0.9
	minPromptTokens      = 1_000
	maxOutputTokens      = 512
	minOutputTokens      = 88
	// A share templateShare of the other prompts starts with one of the customer's templates, and a share
	// archiveShare of the long prompts with half of one of the customer's archives.
	templateShare        = 0.5
	templateBlocks       = 2
	templatesPerCustomer = 4
	archiveShare         = 0.3
	archivesPerCustomer  = 2
	// The timeout of a request is timeoutBase plus the time for its prompt at timeoutTokensPerSecond.
	timeoutBase            = 30 * time.Second
	timeoutTokensPerSecond = 5_000
)

// customerShares are the shares of ten customers in the requests; three customers are large.
var customerShares = []float64{0.3, 0.2, 0.15, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05}

const model namer.Model = "general"

// request is one request of the workload and its result.
type request struct {
	id              namer.Request
	customer        int
	arrival         time.Duration
	promptTokens    int
	outputTokens    int
	maxOutputTokens int
	prefixBlocks    []uint64
	timeout         time.Duration
	// stalledReader is set if the caller never reads the response.
	stalledReader bool

	class          placer.Class // by the length of the whole prompt
	instance       int
	admitted       bool
	cachedTokens   int // tokens found in the engine's prefix cache
	refusalReason  string
	failed         bool
	firstTokenTime time.Duration // from arrival until the caller has the first token
	totalTime      time.Duration // from arrival until the caller has the whole response
	finished       bool
	paused         bool
	engines        []*engine
}

func (r *request) inTime() bool {
	return r.finished && r.totalTime <= r.timeout
}

func customerName(number int) namer.Customer {
	return namer.Customer(fmt.Sprintf("customer-%d", number))
}

// generateRequests generates the requests of a run at random, with a mean rate in requests per second.
func generateRequests(random *rand.Rand, rate float64, length time.Duration, instances int) []*request {
	var all []*request
	at := 0.0
	for {
		at += random.ExpFloat64() / rate
		if at > length.Seconds() {
			return all
		}
		r := &request{
			id:              namer.Request(fmt.Sprintf("r%d", len(all))),
			arrival:         time.Duration(at * float64(time.Second)),
			customer:        pickWeighted(random, customerShares),
			outputTokens:    minOutputTokens + random.IntN(maxOutputTokens-minOutputTokens+1),
			maxOutputTokens: maxOutputTokens,
			instance:        random.IntN(instances),
		}
		drawPrompt(random, r)
		all = append(all, r)
	}
}

// drawPrompt draws the length and the blocks of a prompt and sets the timeout and class that follow.
func drawPrompt(random *rand.Rand, r *request) {
	sharedBase := uint64(r.customer+1) << 32
	sharedBlocks := 0
	if random.Float64() < longShare {
		// Inverse of the cumulative distribution function of a Pareto tail truncated at the longest prompt.
		cut := 1 - math.Pow(float64(longPromptTokens)/maxPromptTokens, longParetoShape)
		r.promptTokens = min(int(longPromptTokens*math.Pow(1-random.Float64()*cut, -1/longParetoShape)), maxPromptTokens)
		if random.Float64() < archiveShare {
			sharedBlocks = r.promptTokens / 2 / blockTokens
			sharedBase |= uint64(random.IntN(archivesPerCustomer)+1) << 24
		}
	} else {
		r.promptTokens = int(otherMedianTokens * math.Exp(otherSigma*random.NormFloat64()))
		r.promptTokens = min(max(r.promptTokens, minPromptTokens), longPromptTokens)
		if random.Float64() < templateShare && r.promptTokens > (templateBlocks+1)*blockTokens {
			sharedBlocks = templateBlocks
			sharedBase |= uint64(random.IntN(templatesPerCustomer)+1) << 16
		}
	}
	for block := range r.promptTokens / blockTokens {
		if block < sharedBlocks {
			r.prefixBlocks = append(r.prefixBlocks, sharedBase+uint64(block)+1)
		} else {
			r.prefixBlocks = append(r.prefixBlocks, random.Uint64()|1<<63)
		}
	}
	r.timeout = timeoutBase + time.Duration(float64(r.promptTokens)/timeoutTokensPerSecond*float64(time.Second))
	settings := placer.DefaultSettings()
	switch {
	case r.promptTokens <= settings.ShortTokens:
		r.class = placer.Short
	case r.promptTokens <= settings.MediumTokens:
		r.class = placer.Medium
	default:
		r.class = placer.Long
	}
}

// pickWeighted returns a random index; shares holds the probability of each index.
func pickWeighted(random *rand.Rand, shares []float64) int {
	remaining := random.Float64()
	for i, share := range shares {
		remaining -= share
		if remaining < 0 {
			return i
		}
	}
	return len(shares) - 1
}
