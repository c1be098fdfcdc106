package loader

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// sharedTokens is the length of the prefix that all prompts of a customer share.
	sharedTokens  = 1024
	shortSigma    = 0.5
	outputSigma   = 0.5
	minLongPrompt = 100_000
	maxLongPrompt = 1_000_000
	minPrompt     = 16
	minOutput     = 4
	// declaredWords is the length of the text of a prompt with Mix.DeclareOnly.
	declaredWords = 32
)

// Customer is a customer with its relative share of the requests.
type Customer struct {
	Name   string
	Weight int
}

// Mix describes the requests to generate.
type Mix struct {
	Customers []Customer
	// ShortMedian is the median prompt length of the requests that are not long, in tokens.
	ShortMedian int
	// LongEvery makes one request in this many a long one on average; 0 means none.
	LongEvery int
	// MaxPrompt and MaxOutput cap the lengths, in tokens.
	MaxPrompt    int
	OutputMedian int
	MaxOutput    int
	// DeclareOnly sends a short text and only declares the prompt's length in tokens.
	DeclareOnly bool
}

// Completion is one prompt to send.
type Completion struct {
	// Number is the request's sequence number in its generator, from 1.
	Number       int
	ID           string
	Customer     string
	Prompt       string
	PromptTokens int
	MaxTokens    int
}

// Call is one service call to send.
type Call struct {
	// Number is the request's sequence number in its generator, from 1.
	Number   int
	Customer string
	Key      string
	Body     string
	// Repeat sends the call again with the same key after its outcome has arrived; the same outcome must be replayed.
	Repeat bool
}

// Generator generates random requests; the same seed gives the same requests.
type Generator struct {
	mix    Mix
	seed   uint64
	random *rand.Rand
	number int
}

// NewGenerator returns a generator of requests.
func NewGenerator(seed uint64, mix Mix) *Generator {
	return &Generator{
		mix:    mix,
		seed:   seed,
		random: rand.New(rand.NewPCG(seed, seed)),
	}
}

// Interarrival returns a random time to the next arrival of a Poisson process with the rate.
func (g *Generator) Interarrival(perSecond float64) time.Duration {
	return time.Duration(g.random.ExpFloat64() / perSecond * float64(time.Second))
}

// Completion generates a prompt.
func (g *Generator) Completion() Completion {
	g.number++
	customer := g.customer()
	tokens := g.promptTokens()
	return Completion{
		Number:       g.number,
		ID:           fmt.Sprintf("load-%d-%d", g.seed, g.number),
		Customer:     customer,
		Prompt:       g.prompt(customer, tokens),
		PromptTokens: tokens,
		MaxTokens:    min(g.mix.MaxOutput, max(minOutput, g.logNormal(g.mix.OutputMedian, outputSigma))),
	}
}

// Call generates a service call.
func (g *Generator) Call() Call {
	g.number++
	return Call{
		Number:   g.number,
		Customer: g.customer(),
		Key:      fmt.Sprintf("key-%d-%d", g.seed, g.number),
		Body:     fmt.Sprintf(`{"amount":%d}`, g.random.IntN(100_000)),
		Repeat:   g.random.IntN(10) == 0,
	}
}

func (g *Generator) customer() string {
	total := 0
	for _, c := range g.mix.Customers {
		total += c.Weight
	}
	drawn := g.random.IntN(total)
	for _, c := range g.mix.Customers {
		if drawn -= c.Weight; drawn < 0 {
			return c.Name
		}
	}
	return g.mix.Customers[0].Name
}

func (g *Generator) promptTokens() int {
	if g.mix.LongEvery > 0 && g.random.IntN(g.mix.LongEvery) == 0 {
		// The length is log-uniform, so that most long prompts are near the lower end.
		ratio := math.Pow(float64(maxLongPrompt)/minLongPrompt, g.random.Float64())
		return min(g.mix.MaxPrompt, int(minLongPrompt*ratio))
	}
	return min(g.mix.MaxPrompt, max(minPrompt, g.logNormal(g.mix.ShortMedian, shortSigma)))
}

func (g *Generator) logNormal(median int, sigma float64) int {
	return int(float64(median) * math.Exp(g.random.NormFloat64()*sigma))
}

func (g *Generator) prompt(customer string, tokens int) string {
	if g.mix.DeclareOnly {
		tokens = min(tokens, declaredWords)
	}
	var text strings.Builder
	text.Grow(tokens * 4)
	for i := range tokens {
		if i < sharedTokens && !g.mix.DeclareOnly {
			fmt.Fprintf(&text, "%s.%d ", customer, i)
			continue
		}
		drawn := g.random.Uint32()
		text.Write([]byte{
			'a' + byte(drawn%26),
			'a' + byte(drawn>>8%26),
			'a' + byte(drawn>>16%26),
			' ',
		})
	}
	return text.String()
}
