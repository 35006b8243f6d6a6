package gate

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/tanagerbridge/tanagerbridge/fair"
	"github.com/tanagerbridge/tanagerbridge/quota"
)

// sampleSize and sampleAlpha configure the latency histograms, which give most weight to the last
// five minutes.
const (
	sampleSize  = 512
	sampleAlpha = 0.015
)

// latencyPrefix begins the name of the latency histogram of a route.
const latencyPrefix = "latency."

// sharePrefix begins the name of the gauge of the share of a customer's limit that is in use.
const sharePrefix = "quota.share."

// metrics holds the counters of an instance.
type metrics struct {
	registry      gometrics.Registry
	connections   gometrics.Counter
	storeFailures gometrics.Counter
	active        gometrics.Counter
	// partRefusals counts the requests that are refused because of a prompt part.
	partRefusals gometrics.Counter
	// unknownStreams counts the requests that are refused because nobody knows the origin of the stream they resume.
	unknownStreams gometrics.Counter
	// panics counts the panics that were contained.
	panics gometrics.Counter
	// leavings counts the endpoints that have said in an answer that they leave.
	leavings gometrics.Counter
	// pauses counts the pauses that endpoints have asked for.
	pauses gometrics.Counter
	// limits counts the rate limits that endpoints have named, and their changes.
	limits gometrics.Counter
	// brittle counts the statements of endpoints that they have become brittle, and changes of what they bear.
	brittle gometrics.Counter
	// syncBytes counts the bytes of store data that are sent to other instances.
	syncBytes gometrics.Counter
	// meshBytes counts the bytes of datagrams that are sent to other instances.
	meshBytes gometrics.Counter
	// meshOmitted counts the facts that messages to other instances had no room for.
	meshOmitted gometrics.Counter
	// closedInRequest counts the connections that this instance closed after a request had begun to
	// arrive and before it was handled.
	closedInRequest gometrics.Counter
	// unfair counts the requests that fairness refuses, unserved those of customers that it admits and that are refused
	// for lack of capacity, waits those that wait for capacity, and overloads the overloads that have begun.
	unfair, unserved, waits, overloads gometrics.Counter
	// leasesLost counts how often the key lease was lost.
	leasesLost gometrics.Counter
	// quotaAdmitted, quotaRejected and quotaRefunded add up the cost of requests of customers with a limit.
	quotaAdmitted gometrics.Counter
	quotaRejected gometrics.Counter
	quotaRefunded gometrics.Counter
	// headsRefused counts the heads with too many fields, connectionsRefused the connections without room, and
	// pipelinesEnded the connections that are closed because of requests that arrived before earlier answers.
	headsRefused       gometrics.Counter
	connectionsRefused gometrics.Counter
	pipelinesEnded     gometrics.Counter
}

func newMetrics(registry gometrics.Registry) *metrics {
	counter := func(name string) gometrics.Counter { return gometrics.NewRegisteredCounter(name, registry) }
	return &metrics{
		registry: registry, connections: counter("endpoint.connections"), storeFailures: counter("store.failures"),
		active: counter("requests.active"), partRefusals: counter("requests.part-refused"), unknownStreams: counter("requests.stream-unknown"), syncBytes: counter("sync.bytes"), panics: counter("panics"), meshBytes: counter("mesh.bytes"), meshOmitted: counter("mesh.omitted"),
		leavings: counter("endpoint.leavings"), pauses: counter("endpoint.pauses"), limits: counter("endpoint.limits"), brittle: counter("endpoint.brittle"), closedInRequest: counter("connections.closed.in_request"),
		leasesLost: counter("customers.lease_lost"), quotaAdmitted: counter("quota.admitted"), quotaRejected: counter("quota.rejected"), quotaRefunded: counter("quota.refunded"),
		unfair: counter("fair.refused"), unserved: counter("fair.unserved"), waits: counter("fair.waits"), overloads: counter("fair.overloads"),
		headsRefused: counter("heads.refused"), connectionsRefused: counter("connections.refused"), pipelinesEnded: counter("connections.pipelined"),
	}
}

// recordRequest counts a request by route and outcome. ms is its duration.
func (m *metrics) recordRequest(route, outcome string, ms int64) {
	gometrics.GetOrRegisterCounter("requests."+outcome, m.registry).Inc(1)
	name := latencyPrefix + route
	histogram, _ := m.registry.GetOrRegister(name, func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(gometrics.Histogram)
	if histogram != nil {
		histogram.Update(ms)
	}
}

// keepRoutes drops the histograms of routes that are not listed: names of routes come and go.
func (m *metrics) keepRoutes(listed map[string]bool) {
	m.keep(latencyPrefix, listed)
}

// keep drops the metrics with a prefix whose names after it are not listed.
func (m *metrics) keep(prefix string, listed map[string]bool) {
	var dropped []string
	m.registry.Each(func(name string, _ any) {
		if rest, ok := strings.CutPrefix(name, prefix); ok && !listed[rest] {
			dropped = append(dropped, name)
		}
	})
	for _, name := range dropped {
		m.registry.Unregister(name)
	}
}

// recordShares sets the shares that customers use, and drops those of other customers.
func (m *metrics) recordShares(shares []quota.Usage) {
	listed := make(map[string]bool, len(shares))
	for _, u := range shares {
		listed[string(u.Customer)] = true
		gometrics.GetOrRegisterGaugeFloat64(sharePrefix+string(u.Customer), m.registry).Update(float64(u.Share))
	}
	m.keep(sharePrefix, listed)
}

// recordRejection counts a request that is rejected because of its customer by reason.
func (m *metrics) recordRejection(why rejection) {
	name := strings.ReplaceAll(strings.ReplaceAll(string(why), "'", ""), " ", "_")
	gometrics.GetOrRegisterCounter("customers.rejected."+name, m.registry).Inc(1)
}

// fairPrefix begins the names of the gauges of services.
const fairPrefix = "fair.service."

// setFairness sets the gauges of the services with traffic of customers and drops those of others.
func (m *metrics) setFairness(statuses []fair.Status) {
	listed := make(map[string]bool)
	set := func(name string, value float64) {
		listed[name] = true
		gometrics.GetOrRegisterGaugeFloat64(fairPrefix+name, m.registry).Update(value)
	}
	for _, s := range statuses {
		name, overloaded := string(s.Service), 0.0
		if s.Overloaded {
			overloaded = 1
		}
		set(name+".overloaded", overloaded)
		set(name+".level", s.Level)
		set(name+".offered", s.Offered)
	}
	m.keep(fairPrefix, listed)
}

// recordSend counts a send by outcome.
func (m *metrics) recordSend(outcome string) {
	gometrics.GetOrRegisterCounter("sends."+outcome, m.registry).Inc(1)
}

// recordCancel counts the cancellation of a request at another instance, by whether it was confirmed.
func (m *metrics) recordCancel(confirmed bool) {
	name := "hops.cancelled"
	if !confirmed {
		name = "hops.unconfirmed"
	}
	gometrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

// recordClose counts a connection that this instance closes by reason.
func (m *metrics) recordClose(reason closeReason) {
	gometrics.GetOrRegisterCounter("connections.closed."+strings.ReplaceAll(string(reason), " ", "_"), m.registry).Inc(1)
}

// recordEviction counts a connection that is evicted, by cause.
func (m *metrics) recordEviction(cause string) {
	gometrics.GetOrRegisterCounter("connections.evicted."+cause, m.registry).Inc(1)
}

// ServeHTTP writes one line per metric: its name and its value.
func (m *metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var lines []string
	m.registry.Each(func(name string, value any) {
		switch v := value.(type) {
		case gometrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Count()))
		case gometrics.GaugeFloat64:
			lines = append(lines, fmt.Sprintf("%s %g", name, v.Value()))
		case gometrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Value()))
		case gometrics.Histogram:
			quantiles := v.Snapshot().Percentiles([]float64{0.5, 0.95, 0.99})
			lines = append(lines, fmt.Sprintf("%s count=%d p50=%.0f p95=%.0f p99=%.0f", name, v.Count(), quantiles[0], quantiles[1], quantiles[2]))
		}
	})
	slices.Sort(lines)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	// A write error only means that the client has disconnected.
	_, _ = w.Write([]byte(strings.Join(lines, "\n") + "\n"))
}
