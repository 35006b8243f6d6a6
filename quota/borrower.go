package quota

import (
	"cmp"
	"maps"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

// granted is what an allocator has granted for a customer.
type granted struct {
	share  Share
	scarce bool
}

// held is the latest grant of one allocator.
type held struct {
	answers    clock.Time
	until      clock.Time
	received   clock.Time
	unlisted   Share
	byCustomer map[Hash]granted
}

// borrower delegates a share of this instance and holds what is granted to it.
type borrower struct {
	// allocator is the one that requests go to, and skipUntil holds until when others are not asked.
	allocator ident.Entry
	skipped   map[ident.Entry]*clock.Backoff
	skipUntil map[ident.Entry]clock.Time
	// unanswered counts the requests since the last grant of the allocator, and firstUnanswered is when the first
	// of them was sent.
	unanswered      int
	firstUnanswered clock.Time
	sent            clock.Time
	// echo is the time in the latest grant of each allocator.
	echo map[ident.Entry]Stamp
	// delegated is what this instance may not use itself, and delegate is the process that may assign it.
	delegated  outstanding
	delegate   ident.Entry
	delegateID Process
	held       map[ident.Entry]held
}

func newBorrower() borrower {
	return borrower{skipped: make(map[ident.Entry]*clock.Backoff), skipUntil: make(map[ident.Entry]clock.Time), echo: make(map[ident.Entry]Stamp), held: make(map[ident.Entry]held)}
}

// choose selects the allocator: the first by rendezvous hashing over the live instances that answer.
func (b *borrower) choose(now clock.Time, live []ident.Entry, interval clock.Span) {
	if b.unanswered >= minUnanswered && now.Sub(b.firstUnanswered) >= max(answerTimeout, minUnanswered*interval) {
		if b.skipped[b.allocator] == nil {
			b.skipped[b.allocator] = &clock.Backoff{First: skipTime, Last: maxSkipTime}
		}
		b.skipUntil[b.allocator] = now.Add(b.skipped[b.allocator].Next())
	}
	candidates := slices.DeleteFunc(slices.Clone(live), func(e ident.Entry) bool { return now.Before(b.skipUntil[e]) })
	var chosen ident.Entry
	if first := watch.Rendezvous("quota", candidates, 1); len(first) > 0 {
		chosen = first[0]
	}
	if chosen != b.allocator {
		b.allocator, b.unanswered = chosen, 0
	}
}

// request returns the next share request. share is what may be delegated.
func (b *borrower) request(now clock.Time, self Process, share Share, known int) *Request {
	request := &Request{Sent: Stamp{self, now}, Echo: b.echo[b.allocator], Term: delegationTerm(known)}
	if b.unanswered++; b.unanswered == 1 {
		b.firstUnanswered = now
	}
	b.sent = now
	same := b.delegate == b.allocator && b.delegateID == request.Echo.Process
	if request.Echo.Time > 0 && share > 0 && (same || b.delegated.peak(now) == 0) {
		b.delegate, b.delegateID = b.allocator, request.Echo.Process
		b.delegated.add(share, now.Add(withMargin(request.Term)))
		request.Delegated = share
	}
	return request
}

// receive stores a grant unless a later one of the same allocator has arrived.
func (b *borrower) receive(now clock.Time, from ident.Entry, self Process, grant *Grant) {
	known, ok := b.held[from]
	if grant.Answers.Process != self || grant.Answers.Time.After(now) || ok && !grant.Answers.Time.After(known.answers) || grant.Term > maxTerm {
		return
	}
	if echo := b.echo[from]; echo.Process != grant.Sent.Process || grant.Sent.Time.After(echo.Time) {
		b.echo[from] = grant.Sent
	}
	if from == b.allocator {
		b.unanswered = 0
	}
	delete(b.skipped, from)
	shares := make(map[Hash]granted, len(grant.Customers))
	for i, h := range grant.Customers[:min(len(grant.Customers), len(grant.Shares), len(grant.Scarce))] {
		shares[h] = granted{cleanShare(grant.Shares[i]), grant.Scarce[i]}
	}
	b.held[from] = held{grant.Answers.Time, grant.Answers.Time.Add(grant.Term), now, cleanShare(grant.Default), shares}
}

// cleanShare returns no share for a value that is none.
func cleanShare(value float32) Share {
	if value > 0 && value <= 1 {
		return Share(value)
	}
	return 0
}

// expire drops grants whose term has ended, and what is known of instances that are gone.
func (b *borrower) expire(now clock.Time, live []ident.Entry) {
	maps.DeleteFunc(b.held, func(_ ident.Entry, h held) bool { return now.Sub(h.until) > maxTerm })
	gone := func(e ident.Entry) bool { return e != b.allocator && !slices.Contains(live, e) }
	maps.DeleteFunc(b.echo, func(e ident.Entry, _ Stamp) bool { _, ok := b.held[e]; return !ok && gone(e) })
	maps.DeleteFunc(b.skipUntil, func(e ident.Entry, _ clock.Time) bool { return gone(e) })
	maps.DeleteFunc(b.skipped, func(e ident.Entry, _ *clock.Backoff) bool { return gone(e) })
}

// share returns what the allocators have granted for a customer.
func (b *borrower) share(at clock.Time, customer Hash) (total granted) {
	for _, h := range b.held {
		if at.Before(h.until) {
			own := h.byCustomer[customer]
			total.share += h.unlisted + own.share
			total.scarce = total.scarce || own.scarce
		}
	}
	return total
}

// unlistedShare returns what the allocators have granted for each customer that they do not list.
func (b *borrower) unlistedShare(at clock.Time) (total Share) {
	for _, h := range b.held {
		if at.Before(h.until) {
			total += h.unlisted
		}
	}
	return total
}

// age returns the time since the latest grant, or -1 if there is none in force.
func (b *borrower) age(now clock.Time) clock.Span {
	age := clock.Span(-1)
	for _, h := range b.held {
		if since := now.Sub(h.received); now.Before(h.until) && (age < 0 || since < age) {
			age = since
		}
	}
	return age
}

// nextChange returns the first time after at and not after end at which a term ends, or else end.
func (b *borrower) nextChange(at, end clock.Time) clock.Time {
	for _, h := range b.held {
		if h.until.After(at) {
			end = min(end, h.until)
		}
	}
	for _, t := range b.delegated.terms {
		if t.until.After(at) {
			end = min(end, t.until)
		}
	}
	return end
}

// offer is the demand for a customer.
type offer struct {
	customer Hash
	demand   float32
}

// list adds the customers with the largest demand to a request.
func (r *Request) list(offers []offer) {
	slices.SortFunc(offers, func(a, b offer) int {
		return cmp.Or(cmp.Compare(b.demand, a.demand), cmp.Compare(a.customer, b.customer))
	})
	for _, o := range offers[:min(len(offers), maxListed)] {
		r.Customers, r.Demands = append(r.Customers, o.customer), append(r.Demands, o.demand)
	}
}
