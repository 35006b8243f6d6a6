package quota

import (
	"math"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// delegator is an instance that sends share requests to this one.
type delegator struct {
	sent      Stamp
	heard     clock.Time
	delegated term
	// unlisted is what it may use for any customer.
	unlisted outstanding
}

// holder is an instance that uses a share of one customer's limit.
type holder struct {
	demand  float64
	heard   clock.Time
	granted outstanding
}

// allocator assigns the shares that instances delegate to this one.
type allocator struct {
	delegators map[ident.Entry]*delegator
	customers  map[Hash]map[ident.Entry]*holder
}

func newAllocator() allocator {
	return allocator{delegators: make(map[ident.Entry]*delegator), customers: make(map[Hash]map[ident.Entry]*holder)}
}

// answer records a request and returns the grant, or nil for a request that arrives after a later one.
func (a *allocator) answer(now clock.Time, from ident.Entry, self Process, request *Request, instances int) *Grant {
	sender := a.delegators[from]
	if sender == nil {
		sender = &delegator{}
		a.delegators[from] = sender
	} else if sender.sent.Process == request.Sent.Process && !request.Sent.Time.After(sender.sent.Time) {
		return nil
	}
	sender.sent, sender.heard = request.Sent, now
	sender.accept(now, self, request)
	span := grantTerm(instances)
	until := now.Add(withMargin(span))
	whole := a.delegated(until)
	grant := &Grant{Sent: Stamp{self, now}, Answers: request.Sent, Term: span}
	others := Share(0)
	for name, d := range a.delegators {
		if name != from {
			others += d.unlisted.peak(now)
		}
	}
	unlisted := defaultPart * whole
	grant.Default = float32(max(0, min(unlisted/Share(max(instances, len(a.delegators))), roundingPart*unlisted-others)))
	sender.unlisted.add(Share(grant.Default), until)
	for i, h := range request.Customers[:min(len(request.Customers), len(request.Demands), maxListed)] {
		share, scarce := a.assign(now, from, h, cleanDemand(request.Demands[i]), (1-defaultPart)*whole, span)
		grant.Customers, grant.Shares, grant.Scarce = append(grant.Customers, h), append(grant.Shares, share), append(grant.Scarce, scarce)
		a.customers[h][from].granted.add(Share(share), until)
	}
	return grant
}

// roundingPart keeps the sum of shares, which are rounded to 32 bits in messages, within what is delegated.
const roundingPart = 1 - 1e-5

// cleanDemand makes what another instance says usable.
func cleanDemand(demand float32) float64 {
	if value := float64(demand); value > 0 && !math.IsInf(value, 0) {
		return value
	}
	return 0
}

// accept records what a request delegates. It counts from the time of this process that the request echoes.
func (d *delegator) accept(now clock.Time, self Process, request *Request) {
	echo := request.Echo
	valid := request.Delegated >= 0 && request.Delegated <= 1 && request.Term > 0 && request.Term <= maxTerm
	if echo.Process != self || echo.Time <= 0 || echo.Time.After(now) || !valid {
		return
	}
	if until := echo.Time.Add(request.Term); !until.Before(d.delegated.until) {
		d.delegated = term{request.Delegated, until}
	}
}

// delegated returns the share that may be assigned until a time.
func (a *allocator) delegated(until clock.Time) (total Share) {
	for _, d := range a.delegators {
		if !d.delegated.until.Before(until) {
			total += d.delegated.share
		}
	}
	return min(total, 1)
}

// assign returns the share of a customer's limit for an instance, and whether the demand is above the whole.
func (a *allocator) assign(now clock.Time, to ident.Entry, customer Hash, demand float64, whole Share, span clock.Span) (share float32, scarce bool) {
	holders := a.customers[customer]
	if holders == nil {
		holders = make(map[ident.Entry]*holder)
		a.customers[customer] = holders
	}
	own := holders[to]
	if own == nil {
		own = &holder{}
		holders[to] = own
	}
	own.demand, own.heard = demand, now
	total, count, others := 0.0, 0, Share(0)
	for name, h := range holders {
		if now.Sub(h.heard) < span {
			total += h.demand
			count++
		}
		if name != to {
			others += h.granted.peak(now)
		}
	}
	target, scarce := divide(float64(whole), demand, total, count)
	return float32(max(0, min(target, roundingPart*float64(whole)-float64(others)))), scarce
}

// divide returns the part of the whole for an instance with a demand, of so many with a total demand. If the whole
// is not enough it is divided by demand. Otherwise each gets its demand, and calmPart of the rest is divided half equally
// and half by demand.
func divide(whole, demand, total float64, count int) (part float64, scarce bool) {
	switch rest := whole - total; {
	case total <= 0:
		return calmPart * whole / float64(count), false
	case rest < 0:
		return whole * demand / total, true
	default:
		return demand + calmPart*rest*(1/float64(count)+demand/total)/2, false
	}
}

// expire forgets instances and customers that no share is granted to.
func (a *allocator) expire(now clock.Time) {
	for customer, holders := range a.customers {
		for name, h := range holders {
			if now.Sub(h.heard) >= idleTime && h.granted.peak(now) == 0 {
				delete(holders, name)
			}
		}
		if len(holders) == 0 {
			delete(a.customers, customer)
		}
	}
	for name, d := range a.delegators {
		if now.Sub(d.heard) >= maxTerm && d.unlisted.peak(now) == 0 {
			delete(a.delegators, name)
		}
	}
}
