package mesh

import (
	"cmp"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/pool"
)

// maxServiceReports bounds the parts of one peer's report that are kept.
const maxServiceReports = 64

// ServiceRange is the part of the sorted services that a datagram tells: those after After, up to and including
// UpTo. An empty UpTo is the end. The zero value is the whole list.
type ServiceRange struct {
	After ident.Service `msgpack:",omitempty"`
	UpTo  ident.Service `msgpack:",omitempty"`
}

func (r ServiceRange) whole() bool { return r == ServiceRange{} }

func (r ServiceRange) contains(service ident.Service) bool {
	return service > r.After && (r.UpTo == "" || service <= r.UpTo)
}

// covers reports whether all of another range is in this one.
func (r ServiceRange) covers(other ServiceRange) bool {
	return r.After <= other.After && (r.UpTo == "" || other.UpTo != "" && other.UpTo <= r.UpTo)
}

// serviceReport is what a peer has told of the services in a range.
type serviceReport struct {
	within   ServiceRange
	services []pool.Summary
	received clock.Time
}

// addReport stores a report and drops those that it replaces.
func (p *peer) addReport(report serviceReport) {
	p.reports = slices.DeleteFunc(p.reports, func(known serviceReport) bool { return report.within.covers(known.within) })
	if len(p.reports) >= maxServiceReports {
		p.reports = p.reports[1:]
	}
	p.reports = append(p.reports, report)
}

// addNewer adds a report to those of a region. The first one is the newest that tells all services, if there is one.
func addNewer(reports []serviceReport, report serviceReport) []serviceReport {
	switch hasWhole := len(reports) > 0 && reports[0].within.whole(); {
	case !report.within.whole():
		return append(reports, report)
	case !hasWhole:
		return slices.Insert(reports, 0, report)
	case report.received > reports[0].received:
		reports[0] = report
	}
	return reports
}

// newestServices returns what the newest of the reports that know of a service say, sorted by service.
func newestServices(reports []serviceReport) (services []pool.Summary) {
	if len(reports) == 1 && reports[0].within.whole() {
		return reports[0].services
	}
	slices.SortStableFunc(reports, func(a, b serviceReport) int { return cmp.Compare(b.received, a.received) })
	var told []ServiceRange
	for _, report := range reports {
		for _, summary := range report.services {
			known := slices.ContainsFunc(told, func(r ServiceRange) bool { return r.contains(summary.Service) })
			if !known && report.within.contains(summary.Service) {
				services = append(services, summary)
			}
		}
		if told = append(told, report.within); coversAll(told) {
			break
		}
	}
	slices.SortFunc(services, func(a, b pool.Summary) int { return cmp.Compare(a.Service, b.Service) })
	return services
}

// coversAll reports whether ranges together are the whole list.
func coversAll(ranges []ServiceRange) bool {
	sorted := slices.Clone(ranges)
	slices.SortFunc(sorted, func(a, b ServiceRange) int { return cmp.Compare(a.After, b.After) })
	var end ident.Service
	for _, r := range sorted {
		switch {
		case r.After > end:
			return false
		case r.UpTo == "":
			return true
		}
		end = max(end, r.UpTo)
	}
	return false
}
