package pool

import "github.com/tanagerbridge/tanagerbridge/clock"

// Rate is a number of requests per second.
type Rate float64

// MaxRate is the highest rate that an endpoint can state.
const MaxRate Rate = 1e6

// RateStatement is what an answer says about a rate that holds for all instances together.
type RateStatement struct {
	// Named reports whether the answer names a rate, which is then Rate.
	Named bool
	Rate  Rate
	// Asked is when the answered request was sent; 0 if the answer has a malformed statement. An answer without a
	// statement ends a known one only if it was asked for after the rate was last named: answers overtake each other.
	Asked clock.Time
}

// statedRate is what a process has said about such a rate.
type statedRate struct {
	stated bool
	rate   Rate
	// named is when the process last named the rate.
	named clock.Time
}

func (r *statedRate) apply(now clock.Time, statement RateStatement) {
	switch {
	case statement.Named:
		r.stated, r.rate, r.named = true, statement.Rate, now
	case r.stated && statement.Asked > r.named:
		r.stated, r.rate = false, 0
	}
}

// changedSince reports whether a rate has been stated that was not known before.
func (r statedRate) changedSince(before statedRate) bool {
	return r.stated && (!before.stated || r.rate != before.rate)
}

// endedSince reports whether a rate that was known before is no longer stated.
func (r statedRate) endedSince(before statedRate) bool { return before.stated && !r.stated }
