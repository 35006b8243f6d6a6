package pool

import "github.com/tanagerbridge/tanagerbridge/ident"

const (
	// maxLowerPriorityWaitMs bounds how long less urgent prompts delay a more urgent one: the
	// engine finishes the prefill that is in progress.
	maxLowerPriorityWaitMs = 120.0
	// preemptionDoublingMs is the backlog of more urgent prompts, in ms of prefill, at which
	// further urgent arrivals are expected to double the time until a prompt is processed.
	preemptionDoublingMs = 300.0
)

// PriorityLevels is the number of priority levels; level 0 is the most urgent.
const PriorityLevels = 10

// Backlog holds the prompt tokens that await prefill, indexed by priority. An engine processes the
// prompts of more urgent requests first.
type Backlog [PriorityLevels]ident.Tokens

// clampPriority limits a request's priority to the index range of a Backlog.
func clampPriority(priority int) int { return min(max(0, priority), PriorityLevels-1) }

func (b *Backlog) add(other Backlog) {
	for i, n := range other {
		b[i] += n
	}
}

func (b Backlog) total() (sum ident.Tokens) {
	for _, n := range b {
		sum += n
	}
	return sum
}

// delay returns the expected time in ms before the prefill of a new prompt starts, for an engine
// that processes rate prompt tokens per ms. The second result is the factor by which more urgent
// arrivals prolong the prefill itself.
func (b Backlog) delay(priority int, rate float64) (ahead, stretch float64) {
	higher, sameOrHigher, lower := ident.Tokens(0), ident.Tokens(0), ident.Tokens(0)
	for i, n := range b {
		switch {
		case i < priority:
			higher += n
			sameOrHigher += n
		case i == priority:
			sameOrHigher += n
		default:
			lower += n
		}
	}
	stretch = 1 + float64(higher)/rate/preemptionDoublingMs
	return float64(sameOrHigher)/rate*stretch + min(float64(lower)/rate, maxLowerPriorityWaitMs), stretch
}

// Compact returns the tokens by priority without trailing zeros.
func (b Backlog) Compact() []ident.Tokens {
	length := 0
	for i, n := range b {
		if n != 0 {
			length = i + 1
		}
	}
	return b[:length:length]
}

// Expand converts the result of Compact back to a Backlog; priorities beyond the last level are
// ignored.
func Expand(compact []ident.Tokens) (backlog Backlog) {
	copy(backlog[:], compact)
	return backlog
}
