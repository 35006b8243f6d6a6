package pool

import "github.com/tanagerbridge/tanagerbridge/ident"

const (
	// restSpan bounds the time in ms for which less urgent prompts hold up a more urgent one:
	// an engine finishes what it is reading.
	restSpan = 120.0
	// urgentSpan is the backlog of more urgent prompts, in ms, at which those that come
	// meanwhile are expected to double the time until a prompt is read.
	urgentSpan = 300.0
)

// Ranks is how many ranks of requests are told apart; 0 is the most urgent.
const Ranks = 10

// Backlog is the prompt tokens that are still to be read, by the rank of their requests:
// an engine reads the prompts of more urgent requests first.
type Backlog [Ranks]ident.Tokens

// rank returns the rank of a request within the bounds of a Backlog.
func rank(priority int) int { return min(max(0, priority), Ranks-1) }

func (b *Backlog) add(o Backlog) {
	for i, n := range o {
		b[i] += n
	}
}

// total returns the tokens of all ranks.
func (b Backlog) total() (sum ident.Tokens) {
	for _, n := range b {
		sum += n
	}
	return sum
}

// delay is the expected time in ms until a new prompt of a rank is read at a reading speed in
// tokens per ms, without the prompt itself, and by how much more urgent prompts that come
// meanwhile stretch its own reading.
func (b Backlog) delay(rank int, rate float64) (ahead, stretch float64) {
	urgent, before, rest := ident.Tokens(0), ident.Tokens(0), ident.Tokens(0)
	for i, n := range b {
		switch {
		case i < rank:
			urgent += n
			before += n
		case i == rank:
			before += n
		default:
			rest += n
		}
	}
	stretch = 1 + float64(urgent)/rate/urgentSpan
	return float64(before)/rate*stretch + min(float64(rest)/rate, restSpan), stretch
}

// Compact returns the tokens by rank without the zeros at the end.
func (b Backlog) Compact() []ident.Tokens {
	last := 0
	for i, n := range b {
		if n != 0 {
			last = i + 1
		}
	}
	return b[:last:last]
}

// Expand returns the backlog of a compact form; ranks beyond the last one are left out.
func Expand(compact []ident.Tokens) (b Backlog) {
	copy(b[:], compact)
	return b
}
