package crash

import (
	"maps"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// LeaseTerm is how long a lease holds after its last renewal.
const LeaseTerm = 6 * clock.Second

// Holder identifies the request, at one process of an entry, that may run a suspect.
type Holder struct {
	Entry       ident.Entry       `msgpack:"entry"`
	Incarnation ident.Incarnation `msgpack:"incarnation"`
	Request     ident.Request     `msgpack:"request"`
}

// LeaseRequest asks the owner of a suspect for the right to run it, renews that right or returns it.
type LeaseRequest struct {
	Fingerprint ident.Fingerprint `msgpack:"fingerprint"`
	Holder      Holder            `msgpack:"holder"`
	// Reports is what the sender knows of the suspect: the owner may not have heard of it.
	Reports []gossip.CrashReport `msgpack:"reports,omitempty"`
	Return  bool                 `msgpack:"return,omitempty"`
}

// LeaseReply is the owner's reply.
type LeaseReply struct {
	Granted bool `msgpack:"granted"`
	// Reports is what the owner knows of the suspect.
	Reports []gossip.CrashReport `msgpack:"reports,omitempty"`
}

// Leases lets at most one request of all entries run a suspect at a time. One entry keeps the leases
// of a suspect. It is not safe for concurrent use.
type Leases struct {
	held map[ident.Fingerprint]lease
}

type lease struct {
	holder  Holder
	expires clock.Time
}

// NewLeases returns Leases without any lease.
func NewLeases() *Leases { return &Leases{held: make(map[ident.Fingerprint]lease)} }

// Grant grants or renews a lease and returns false if another request holds it.
func (l *Leases) Grant(now clock.Time, fingerprint ident.Fingerprint, holder Holder) bool {
	known, ok := l.held[fingerprint]
	if ok && known.holder != holder && now.Before(known.expires) {
		return false
	}
	if !ok && len(l.held) >= maxRecords {
		maps.DeleteFunc(l.held, func(_ ident.Fingerprint, old lease) bool { return !now.Before(old.expires) })
		if len(l.held) >= maxRecords {
			return false
		}
	}
	l.held[fingerprint] = lease{holder, now.Add(LeaseTerm)}
	return true
}

// Return ends a lease before its term.
func (l *Leases) Return(fingerprint ident.Fingerprint, holder Holder) {
	if l.held[fingerprint].holder == holder {
		delete(l.held, fingerprint)
	}
}
