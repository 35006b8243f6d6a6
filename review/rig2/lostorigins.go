package main

import (
	"fmt"
	"slices"
	"time"
)

const (
	// originKilled is how many machines are killed at the same moment: half of all.
	originKilled = 2
	// originInterval is the interval between two new streams, and originRestart the time until a killed process is
	// started again.
	originInterval = 20 * time.Millisecond
	originRestart  = 500 * time.Millisecond
	// originRunners is the number of runners, half of them of each version.
	originRunners = 8
	// originPause is the pause between two events of a stream.
	originPause = 100 * time.Millisecond
	// minResumed is the number of streams from which the rule applies.
	minResumed = 12
)

// lostOrigins kills half of the machines while streams go on that are served in one region by runners of two versions.
func lostOrigins(w *world, trouble bool) (verdict, error) {
	for i := range originRunners {
		r := &runner{names: w.names, store: w.store, id: fmt.Sprintf("i-%d", i), service: "kit", zone: "gp-a", slots: 48, version: fmt.Sprintf("v%d", 1+i%2)}
		r.handle = serveStream(w, r, originPause)
		if err := startRunner(r); err != nil {
			return verdict{}, err
		}
	}
	if _, err := w.store.put(w.names.Config, originConfig()); err != nil {
		return verdict{}, err
	}
	near := place{"gp-a", "gauteng"}
	if err := w.startMachines([]place{near, near, near, {"kzn-a", "kzn"}}); err != nil {
		return verdict{}, err
	}
	time.Sleep(startWait)
	killed, alive := w.machines[:originKilled], w.machines[originKilled:originKilled+1]
	broken := w.streamLoad(killed, originInterval, 4*time.Second)
	time.Sleep(4 * time.Second)
	if trouble {
		for _, m := range killed {
			w.kill(m)
		}
		time.AfterFunc(originRestart, func() {
			for _, m := range killed {
				_ = w.restart(m) // a machine that does not come back is seen in the record
			}
		})
	}
	fresh := w.streamLoad(alive, originInterval, 3*time.Second)
	return w.judgeOrigins(broken(), fresh(), alive[0]), nil
}

func originConfig() map[string]any {
	return map[string]any{
		"version": 4, "services": []map[string]any{plainService("kit")}, "limits": limits(),
		"routes": []map[string]any{{
			"name": "r-draft", "host": host, "prefix": "/draft/", "kind": "streaming", "timeout_ms": streamLimit.Milliseconds(), "target_latency_ms": 1000,
			"priority": 1, "service": "kit", "max_attempts": 2, "sticky": false, "resumable": true, "gap_aim_ms": 400, "home_regions": []string{"gauteng"},
		}},
	}
}

// judgeOrigins compares the share of the streams that go on, of those that clients take up again at a machine that
// was not killed, with the share of the new streams that begin there.
func (w *world) judgeOrigins(broken, fresh []*clientStream, alive *machine) verdict {
	resumed, goneOn, mixed, began := 0, 0, 0, 0
	for _, s := range broken {
		if len(s.versions) > 1 {
			mixed++
		}
		if s.broken.IsZero() || !slices.Contains(s.resumedAt, alive.name) {
			continue
		}
		resumed++
		if s.goneOn {
			goneOn++
		}
	}
	for _, s := range fresh {
		if s.events > 0 {
			began++
		}
	}
	shareOn := float64(goneOn) / float64(max(1, resumed))
	shareNew := float64(began) / float64(max(1, len(fresh)))
	text := fmt.Sprintf("%d of %d streams that were taken up again at %s went on (%.2f), %d of %d new ones began there (%.2f), %d streams of two versions",
		goneOn, resumed, alive.name, shareOn, began, len(fresh), shareNew, mixed)
	return verdict{resumed >= minResumed && shareOn < shareNew/2 || mixed > 2, text}
}
