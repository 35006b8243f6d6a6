package gate

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// sampleSize and sampleAlpha configure the latency histograms, which weigh the last five
// minutes most.
const (
	sampleSize  = 512
	sampleAlpha = 0.015
)

// metrics counts what an instance does.
type metrics struct {
	registry      gometrics.Registry
	connections   gometrics.Counter
	storeFailures gometrics.Counter
	active        gometrics.Counter
}

func newMetrics(r gometrics.Registry) *metrics {
	counter := func(name string) gometrics.Counter { return gometrics.NewRegisteredCounter(name, r) }
	return &metrics{
		registry: r, connections: counter("endpoint.connections"), storeFailures: counter("store.failures"),
		active: counter("requests.active"),
	}
}

// ended counts a request by its route and outcome.
func (m *metrics) ended(route, outcome string, ms int64) {
	gometrics.GetOrRegisterCounter("requests."+outcome, m.registry).Inc(1)
	name := "latency." + route
	h, _ := m.registry.GetOrRegister(name, func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(gometrics.Histogram)
	if h != nil {
		h.Update(ms)
	}
}

// tried counts a send by its outcome.
func (m *metrics) tried(outcome string) {
	gometrics.GetOrRegisterCounter("sends."+outcome, m.registry).Inc(1)
}

// ServeHTTP writes one line for each metric: its name and its value.
func (m *metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var lines []string
	m.registry.Each(func(name string, value any) {
		switch v := value.(type) {
		case gometrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Count()))
		case gometrics.Histogram:
			q := v.Snapshot().Percentiles([]float64{0.5, 0.95, 0.99})
			lines = append(lines, fmt.Sprintf("%s count=%d p50=%.0f p95=%.0f p99=%.0f", name, v.Count(), q[0], q[1], q[2]))
		}
	})
	slices.Sort(lines)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	// A reader that has left needs no answer.
	_, _ = w.Write([]byte(strings.Join(lines, "\n") + "\n"))
}
