package gossip

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// PartReport reports that a request with a prompt part was starting at an endpoint when that crashed.
type PartReport struct {
	Part ident.Part `msgpack:"part"`
	// Depth is the number of parts before it in the prompt.
	Depth   int               `msgpack:"depth"`
	Crash   ident.Crash       `msgpack:"crash"`
	Request ident.Fingerprint `msgpack:"request"`
	// Regions are the regions that may learn of it; empty means all.
	Regions []ident.Region `msgpack:"regions,omitempty"`
	// Remaining is the remaining validity of the report.
	Remaining clock.Span `msgpack:"rest"`
}

// PartClearance reports that a request with a prompt part has completed.
type PartClearance struct {
	Part ident.Part `msgpack:"part"`
	// Regions are the regions that may learn of it; empty means all.
	Regions   []ident.Region `msgpack:"regions,omitempty"`
	Remaining clock.Span     `msgpack:"rest"`
}

// PartFacts is what is reported about prompt parts.
type PartFacts struct {
	PartReports    []PartReport    `msgpack:"reports,omitempty"`
	PartClearances []PartClearance `msgpack:"cleared,omitempty"`
}

// Empty reports whether there is nothing to tell.
func (f PartFacts) Empty() bool { return len(f.PartReports) == 0 && len(f.PartClearances) == 0 }

// Visible reports whether entries of the region may learn of the report.
func (r PartReport) Visible(to ident.Region) bool { return visible(r.Regions, to) }

// Visible reports whether entries of the region may learn of the clearance.
func (c PartClearance) Visible(to ident.Region) bool { return visible(c.Regions, to) }

// VisibleTo returns what a region may learn of the facts.
func (f PartFacts) VisibleTo(region ident.Region) PartFacts {
	return PartFacts{PartReports: VisibleTo(region, f.PartReports), PartClearances: VisibleTo(region, f.PartClearances)}
}
