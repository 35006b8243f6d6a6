// Package ticket defines the signed tickets that identify non-idempotent requests. A
// ticket names the entry incarnation that issued it, which is the only one that may
// execute the request.
package ticket

import (
	"net/url"
	"strconv"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Ticket identifies a request that is executed at most once.
type Ticket struct {
	Entry       ident.Entry       `msgpack:"entry"`
	Incarnation ident.Incarnation `msgpack:"incarnation"`
	// Sequence numbers the tickets of an incarnation, starting at 1.
	Sequence uint64        `msgpack:"sequence"`
	Service  ident.Service `msgpack:"service"`
	Home     ident.Home    `msgpack:"home"`
	// Deadline is on the monotonic clock of the issuing incarnation and cannot be
	// compared with the clock of another process.
	Deadline clock.Time `msgpack:"deadline"`
}

// Kind classifies the errors of this package.
type Kind string

// Error kinds.
const (
	// KindMalformed is returned for text that is not an encoded ticket.
	KindMalformed Kind = "malformed"
	// KindForged is returned if the signature does not match.
	KindForged Kind = "forged"
	// KindKey is returned if the signing key is unknown or a configured key is malformed.
	KindKey Kind = "key"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// IdempotencyKey returns the idempotency key of the ticket's request, by which a service
// recognises repeated calls. It is the same for every attempt, valid as an HTTP header value
// and not secret.
func (t Ticket) IdempotencyKey() string {
	return url.QueryEscape(string(t.Entry)) + "-" + strconv.FormatUint(uint64(t.Incarnation), 10) +
		"-" + strconv.FormatUint(t.Sequence, 10)
}
