package core

import (
	"strconv"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/crash"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

const (
	// leaseRenewal is the interval at which a lease is renewed.
	leaseRenewal = crash.LeaseTerm / 3
	// leaseRetry is the time until a lease that was not granted is requested again.
	leaseRetry = 250 * clock.Millisecond
)

// suspectLease is a request's right to run although it is suspected of crashing endpoints. Reports
// alone, which are up to a push old, would let several entries that hold copies of the request
// start it at the same time.
type suspectLease struct {
	owner ident.Entry
	// pending is set while a query to the owner is in progress, and querySent is when it was sent.
	pending   bool
	querySent clock.Time
	nextQuery clock.Time
	// heldUntil is when the lease expires; 0 if it is not held.
	heldUntil clock.Time
}

func (l *suspectLease) held(now clock.Time) bool { return now.Before(l.heldUntil) }

func (c *Core) holderOf(request *activeRequest) crash.Holder {
	return crash.Holder{Entry: c.entry, Incarnation: c.incarnation, Request: request.Request}
}

// suspectOwner returns the entry that keeps the lease of a suspect. Only entries of regions that may
// learn of the request are chosen.
func (c *Core) suspectOwner(request *activeRequest) ident.Entry {
	visible := gossip.CrashReport{Regions: c.visibleRegions(request)}.Visible
	var names []ident.Entry
	if visible(c.region) {
		names = append(names, c.entry)
	}
	for _, m := range c.members {
		if m.Entry != c.entry && visible(m.Region) {
			names = append(names, m.Entry)
		}
	}
	if len(names) == 0 {
		return c.entry
	}
	return watch.Rendezvous(strconv.FormatUint(uint64(request.Fingerprint), 16), names, 1)[0]
}

// acquireLease reports whether a request may run. For a suspect it needs the lease, which it
// requests from the owner; the reply dispatches the request.
func (c *Core) acquireLease(now clock.Time, request *activeRequest) bool {
	if c.suspects.Verdict(now, request.Fingerprint) != crash.VerdictExclusive {
		return true
	}
	c.renewLease(now, request)
	return request.lease.held(now)
}

// renewLease requests the lease of a suspect or renews it.
func (c *Core) renewLease(now clock.Time, request *activeRequest) {
	lease := &request.lease
	if owner := c.suspectOwner(request); owner != lease.owner {
		c.returnLease(now, request)
		*lease = suspectLease{owner: owner}
	}
	if lease.pending || now.Before(lease.nextQuery) {
		return
	}
	lease.nextQuery = now.Add(leaseRenewal)
	if lease.owner == c.entry {
		c.recordLease(now, lease, c.leases.Grant(now, request.Fingerprint, c.holderOf(request)), now)
		return
	}
	lease.pending, lease.querySent = true, now
	c.emit(QueryLease{Owner: lease.owner, Lease: c.leaseRequest(now, request)})
}

func (c *Core) recordLease(now clock.Time, lease *suspectLease, granted bool, from clock.Time) {
	if granted {
		lease.heldUntil = from.Add(crash.LeaseTerm)
		return
	}
	lease.heldUntil, lease.nextQuery = 0, now.Add(leaseRetry)
}

func (c *Core) leaseRequest(now clock.Time, request *activeRequest) crash.LeaseRequest {
	return crash.LeaseRequest{Fingerprint: request.Fingerprint, Holder: c.holderOf(request), Reports: c.suspects.ReportsOf(now, request.Fingerprint)}
}

// returnLease returns the lease of a request, if it has one or has asked for it.
func (c *Core) returnLease(now clock.Time, request *activeRequest) {
	lease := request.lease
	request.lease = suspectLease{}
	switch {
	case !lease.held(now) && !lease.pending:
	case lease.owner == c.entry:
		c.leases.Return(request.Fingerprint, c.holderOf(request))
	default:
		returned := c.leaseRequest(now, request)
		returned.Return = true
		c.emit(ReturnLease{Owner: lease.owner, Lease: returned})
	}
}

// handleLeaseReplied processes the reply of the owner of a suspect.
func (c *Core) handleLeaseReplied(now clock.Time, event LeaseReplied) {
	request := c.requests.get(event.Request)
	if request == nil || !request.lease.pending || request.lease.owner != event.Owner {
		return
	}
	request.lease.pending = false
	c.recordLease(now, &request.lease, event.Reply.Granted, request.lease.querySent)
	c.suspects.MergeCrashReports(now, event.Reply.Reports)
	c.dispatchWaiting(now, request.Service)
}

// HandleLease processes a lease request of another entry, whose reports have been merged.
func (c *Core) HandleLease(now clock.Time, request crash.LeaseRequest) crash.LeaseReply {
	if request.Return {
		c.leases.Return(request.Fingerprint, request.Holder)
		return crash.LeaseReply{}
	}
	if c.suspects.Verdict(now, request.Fingerprint) == crash.VerdictRefused {
		return crash.LeaseReply{Reports: c.suspects.ReportsOf(now, request.Fingerprint)}
	}
	return crash.LeaseReply{Granted: c.leases.Grant(now, request.Fingerprint, request.Holder)}
}

// endRequest removes a request that has been answered or given up.
func (c *Core) endRequest(now clock.Time, request *activeRequest) {
	c.returnLease(now, request)
	c.requests.remove(request.Request)
}
