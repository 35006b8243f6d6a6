package quota

import (
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
)

// maxTerms bounds the terms that are kept for one share.
const maxTerms = 8

// term is a share that another instance may use until a time.
type term struct {
	share Share
	until clock.Time
}

// outstanding holds the shares of which another instance may be using the largest: a message that replaces a share may
// have been lost.
type outstanding struct {
	terms []term
}

// add records a share. Terms that it covers are dropped.
func (o *outstanding) add(share Share, until clock.Time) {
	o.terms = slices.DeleteFunc(o.terms, func(t term) bool { return t.share <= share && !t.until.After(until) })
	if slices.ContainsFunc(o.terms, func(t term) bool { return t.share >= share && !t.until.Before(until) }) {
		return
	}
	if len(o.terms) == maxTerms {
		last := &o.terms[maxTerms-1]
		last.share, last.until = max(last.share, share), max(last.until, until)
		return
	}
	o.terms = append(o.terms, term{share, until})
}

// at returns the largest share whose term has not ended.
func (o *outstanding) at(now clock.Time) (largest Share) {
	for _, t := range o.terms {
		if now.Before(t.until) {
			largest = max(largest, t.share)
		}
	}
	return largest
}

// peak returns the largest share whose term has not ended, and drops the others.
func (o *outstanding) peak(now clock.Time) Share {
	o.terms = slices.DeleteFunc(o.terms, func(t term) bool { return !now.Before(t.until) })
	return o.at(now)
}
