package entry

import (
	"net/http"
	"sync/atomic"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/caller"
)

// metrics holds the counters of this package; the core counts its own decisions.
type metrics struct {
	registry     gometrics.Registry
	wrongRequest gometrics.Counter
	panics       gometrics.Counter
	active       atomic.Int64
}

func newMetrics() *metrics {
	r := gometrics.NewRegistry()
	return &metrics{
		registry: r, wrongRequest: gometrics.NewRegisteredCounter("answers.crossed", r),
		panics: gometrics.NewRegisteredCounter("panics", r),
	}
}

func (m *metrics) countRefusal(reason caller.Reason) {
	gometrics.GetOrRegisterCounter("refused."+string(reason), m.registry).Inc(1)
}

func (m *metrics) countBundleRefusal(kind bundle.Kind) {
	gometrics.GetOrRegisterCounter("bundle."+string(kind), m.registry).Inc(1)
}

// openRequests returns the number of caller requests whose handler has not returned.
func (m *metrics) openRequests() int64 { return m.active.Load() }

// trackActive wraps a handler to count its requests in progress.
func (m *metrics) trackActive(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.active.Add(1)
		defer m.active.Add(-1)
		next.ServeHTTP(w, r)
	})
}
