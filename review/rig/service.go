package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// oddServiceBytes is the length of the name of the unknown service. A value of the store may have 1 MiB.
	oddServiceBytes = 9000
	// addedRate is the rate of requests for each of the two routes.
	addedRate = 20
	// configTime is longer than config_ms.
	configTime = 4 * time.Second
)

// playService publishes an entry of another writer that names an unknown service, and then adds a route whose home is
// the region of that entry.
func playService(w *world, trouble bool) (string, error) {
	first := stockRoute("r-first", "/puxa403/")
	added := stockRoute("r-added", "/bovo113/", "gauteng")
	if err := w.startSmall(first, 3, answerShortly); err != nil {
		return "", err
	}
	for range 2 {
		if _, err := w.addEndpoint(first.service, "wc-a", answerShortly); err != nil {
			return "", err
		}
	}
	time.Sleep(settleTime)
	if trouble {
		if err := w.publishOdd("gp-a", strings.Repeat("x", oddServiceBytes)); err != nil {
			return "", err
		}
	}
	time.Sleep(configTime)
	if err := w.publishConfig(9, first, added); err != nil {
		return "", err
	}
	time.Sleep(configTime)
	t := w.measureRoutes(12*time.Second, first.prefix+"2f", added.prefix+"2f")
	of, late := t.perPath[first.prefix+"2f"], t.perPath[added.prefix+"2f"]
	w.note("first route: %d of %d served; added route: %d of %d served; answers %v", of[1], of[0], late[1], late[0], t.answers)
	if share(late) < share(of)/4 {
		return fmt.Sprintf("CONFIG: %d of %d requests on the first route and %d of %d on the added route were served", of[1], of[0], late[1], late[0]), nil
	}
	return "", nil
}

func share(counts [2]int) float64 { return float64(counts[1]) / float64(max(1, counts[0])) }

// publishOdd writes an entry of another writer: all fields are of the right type, but no desired state names its
// service, and nobody listens at its address.
func (w *world) publishOdd(zone, service string) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	w.note("another writer publishes an entry with a service of %d bytes", len(service))
	return w.store.put(names["servers"]+"i-0dd00001", map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": 4, "state": "ready", names["coldField"]: 0, "seq": 1,
		"born": time.Now().UnixMilli(),
	})
}

// measureRoutes lets the callers of western-cape ask for some paths for some time.
func (w *world) measureRoutes(length time.Duration, paths ...string) *tally {
	t, stop := newTally(), make(chan struct{})
	c := &callers{world: w, region: "western-cape", zone: "wc-a"}
	c.learn(c.resolve())
	var group sync.WaitGroup
	group.Go(func() { c.follow(stop) })
	for _, p := range paths {
		group.Go(func() { c.ask(p, addedRate, t, stop) })
	}
	time.Sleep(length)
	close(stop)
	group.Wait()
	return t
}
