package peer

import "github.com/rcrowley/go-metrics"

// counters let operators distinguish a broken link from a failed entry, and a bundle that
// does not spread from one that is rejected.
type counters struct {
	// probes counts direct probes, relays indirect ones, and lost the failed ones of both.
	probes, relays, lost metrics.Counter
	// pushes counts push messages, unpushed the failed ones.
	pushes, unpushed metrics.Counter
	// fetches counts fetched bundles, unfetched the failed attempts.
	fetches, unfetched metrics.Counter
	// adopted counts ledgers taken over from other entries.
	adopted metrics.Counter
}

func newCounters(registry metrics.Registry) counters {
	count := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("peer."+name, registry) }
	return counters{
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
