// Package ticket identifies non-idempotent requests: a ticket names the
// incarnation that issued it, the only one that may ever run the request, and
// carries a keyed hash.
package ticket

import (
	"net/url"
	"strconv"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Ticket identifies one request that runs at most once.
type Ticket struct {
	Entry       ident.Entry       `msgpack:"entry"`
	Incarnation ident.Incarnation `msgpack:"incarnation"`
	// Sequence counts the tickets of an incarnation, starting at 1.
	Sequence uint64        `msgpack:"sequence"`
	Service  ident.Service `msgpack:"service"`
	Home     ident.Home    `msgpack:"home"`
	// Deadline is on the monotonic clock of the incarnation that issued the
	// ticket. Other processes can't compare it with their own time.
	Deadline clock.Time `msgpack:"deadline"`
}

// Kind classifies the errors of this package.
type Kind string

// Kinds of error.
const (
	// KindMalformed says that the text is not the encoding of a ticket.
	KindMalformed Kind = "malformed"
	// KindForged says that the keyed hash does not match.
	KindForged Kind = "forged"
	// KindKey says that the ticket's key is unknown, or that the text of a key is malformed.
	KindKey Kind = "key"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

// Key returns what identifies the ticket's request to a service that tells repeated
// calls apart. It is the same for every try, fits in a header and is no secret.
func (t Ticket) Key() string {
	return url.QueryEscape(string(t.Entry)) + "-" + strconv.FormatUint(uint64(t.Incarnation), 10) +
		"-" + strconv.FormatUint(t.Sequence, 10)
}
