package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// staleVersions is the number of desired states, each of which moves the route to another service, and staleInterval
	// the time between two of them.
	staleVersions = 11
	staleInterval = 4370 * time.Millisecond
	// staleNear is the number of machines in the region that serves the route.
	staleNear = 4
	// downgradeSlack is downgrade_slack_ms of the settings.
	downgradeSlack = 250 * time.Millisecond
	// staleRate is the interval between two requests.
	staleRate = 5 * time.Millisecond
)

// staleSend is one request of a client.
type staleSend struct {
	attempt string
	sent    time.Time
}

// staleHop moves a route to another service by several desired states. The route is served in another region than that
// of the machine that gets the requests.
func staleHop(w *world, trouble bool) (verdict, error) {
	var places []place
	for range staleNear {
		places = append(places, place{"gp-a", "gauteng"})
	}
	places = append(places, place{"kzn-a", "kzn"})
	for version := range staleVersions {
		if err := w.startStaleRunner(version); err != nil {
			return verdict{}, err
		}
	}
	if _, err := w.store.put(w.names.Config, staleConfig(0)); err != nil {
		return verdict{}, err
	}
	if err := w.startMachines(places); err != nil {
		return verdict{}, err
	}
	time.Sleep(startWait)
	front := w.machines[len(w.machines)-1]
	acknowledged := make([]time.Time, staleVersions)
	acknowledged[0] = time.Now()
	var changes sync.WaitGroup
	if trouble {
		changes.Go(func() {
			for version := 1; version < staleVersions; version++ {
				time.Sleep(staleInterval)
				at, err := w.store.put(w.names.Config, staleConfig(version))
				if err != nil {
					return // a configuration can always be encoded
				}
				w.note("config    version %d acknowledged: the route goes to %s", staleNumber(version), staleService(version))
				acknowledged[version] = at
			}
		})
	}
	sends := w.sendStale(front, time.Now().Add(staleVersions*staleInterval))
	changes.Wait()
	return w.judgeStale(sends, acknowledged), nil
}

func staleService(version int) string { return fmt.Sprintf("desk-%d", version) }

// staleNumber returns the number of a desired state. They increase in uneven steps.
func staleNumber(version int) int { return 4 + version*2 + version%2 }

// staleConfig returns the desired state in which the route goes to the service of a version.
func staleConfig(version int) map[string]any {
	var services []map[string]any
	for v := range staleVersions {
		services = append(services, plainService(staleService(v)))
	}
	return map[string]any{
		"version": staleNumber(version), "services": services,
		"routes": []map[string]any{{
			"name": "r-orders", "host": host, "prefix": "/orders/", "kind": "non_idempotent", "timeout_ms": 2500, "target_latency_ms": 500,
			"priority": 2, "service": staleService(version), "max_attempts": 1, "sticky": false, "resumable": false, "home_regions": []string{"gauteng"},
		}},
		"limits": limits(),
	}
}

func (w *world) startStaleRunner(version int) error {
	started := &runner{names: w.names, store: w.store, id: fmt.Sprintf("i-%d", version), service: staleService(version), zone: "gp-a", slots: 48, version: "v1"}
	started.handle = func(rw http.ResponseWriter, r *http.Request) {
		w.noteRun(r.Header.Get(w.names.Attempt), started)
		time.Sleep(5 * time.Millisecond)
		rw.Header()[w.names.Signature] = []string{"sig"}
		_, _ = fmt.Fprintf(rw, "done by %s", started.id) // the caller may have left
	}
	return startRunner(started)
}

// sendStale sends requests to a machine at a fixed rate.
func (w *world) sendStale(front *machine, until time.Time) (sends []staleSend) {
	client := newClient()
	var open sync.WaitGroup
	for time.Now().Before(until) {
		attempt := newAttempt()
		sends = append(sends, staleSend{attempt, time.Now()})
		open.Go(func() {
			w.send(client, front, http.MethodPost, "/orders/1", attempt, []byte(strings.Repeat("x", 600)))
		})
		time.Sleep(staleRate)
	}
	open.Wait()
	return sends
}

// judgeStale looks for requests that were sent after a runner had seen the effect of a desired state for an earlier
// request to the same machine, and that ran as only an older desired state allows.
func (w *world) judgeStale(sends []staleSend, acknowledged []time.Time) verdict {
	served, stale := 0, 0
	var latest time.Duration
	seen := make([]time.Time, staleVersions) // when a runner first saw the effect of a version
	for _, s := range sends {
		for _, r := range w.runsOf(s.attempt) {
			served++
			version := versionOf(r.runner)
			if seen[version].IsZero() || r.arrived.Before(seen[version]) {
				seen[version] = r.arrived
			}
		}
	}
	for _, s := range sends {
		for _, r := range w.runsOf(s.attempt) {
			newer := slices.IndexFunc(seen, func(at time.Time) bool { return !at.IsZero() && s.sent.Sub(at) > downgradeSlack })
			for newer >= 0 && newer+1 < staleVersions && !seen[newer+1].IsZero() && s.sent.Sub(seen[newer+1]) > downgradeSlack {
				newer++
			}
			if newer > versionOf(r.runner) {
				stale++
				late := s.sent.Sub(seen[newer])
				latest = max(latest, late)
				w.note("stale     %s ran at %s, sent %d ms after the effect of version %d, %d ms after its ack", s.attempt, r.runner.service,
					late.Milliseconds(), staleNumber(newer), s.sent.Sub(acknowledged[newer]).Milliseconds())
			}
		}
	}
	text := fmt.Sprintf("%d of %d runs were handled as only an older desired state allows, up to %d ms after the effect of a newer one", stale, served, latest.Milliseconds())
	return verdict{stale > 0, text}
}

func versionOf(r *runner) (version int) {
	_, _ = fmt.Sscanf(r.service, "desk-%d", &version)
	return version
}
