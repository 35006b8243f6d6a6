package peer

import "github.com/rcrowley/go-metrics"

// meter counts what operators need to tell a cut link from a failed entry and a bundle
// that does not spread from one that is rejected.
type meter struct {
	// probes counts the direct probes, relays the indirect ones; lost counts those of
	// either sort that failed.
	probes, relays, lost metrics.Counter
	// pushes counts the messages with urgent news, unpushed those that failed.
	pushes, unpushed metrics.Counter
	// fetches counts the bundles that were fetched, unfetched the attempts that failed.
	fetches, unfetched metrics.Counter
	// adopted counts the ledgers that this entry took over.
	adopted metrics.Counter
}

func newMeter(r metrics.Registry) meter {
	count := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("peer."+name, r) }
	return meter{
		probes:    count("probes"),
		relays:    count("relays"),
		lost:      count("lost"),
		pushes:    count("pushes"),
		unpushed:  count("unpushed"),
		fetches:   count("fetches"),
		unfetched: count("unfetched"),
		adopted:   count("adopted"),
	}
}
