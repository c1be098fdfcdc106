package answerer

import (
	"hash/fnv"
	"strconv"
)

// mixer is an odd constant that spreads consecutive token indexes over all bits.
const mixer = 0x9E3779B97F4A7C15

// Answer computes the tokens of the answer to one prompt.
type Answer struct {
	digest uint64
}

// New returns the answer to the prompt.
func New(prompt string) Answer {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt))
	return Answer{
		digest: h.Sum64(),
	}
}

// Token returns the text of the token at the index; all but the first one start with a space.
func (a Answer) Token(index int) string {
	mixed := (a.digest ^ uint64(index)) * mixer
	mixed ^= mixed >> 29
	mixed *= mixer
	word := strconv.FormatUint(mixed>>32, 36)
	if index == 0 {
		return word
	}
	return " " + word
}
