package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// deskRunners is the number of runners of the service, and deskCrashed how many of them crash at the same moment.
	deskRunners = 12
	deskCrashed = 3
	// deskDown is how long they are down, and deskSettled how long after their return the steady state begins: contact_ms.
	deskDown    = 2 * time.Second
	deskSettled = 5 * time.Second
	// deskLength is how long requests are sent, and deskCrashAt when the runners crash.
	deskLength  = 26 * time.Second
	deskCrashAt = 3 * time.Second
	// lookupInterval and orderInterval are the intervals between two requests on the later and on the first route.
	lookupInterval = 16 * time.Millisecond
	orderInterval  = 20 * time.Millisecond
	// minLater is the number of requests on the later route from which the rule applies, and laterDivisor the part of the
	// first routes' share that it must reach.
	minLater     = 20
	laterDivisor = 4
)

// deskSend is a request on one of the routes, with its answer.
type deskSend struct {
	sent   time.Time
	served bool
}

// bystander lets some runners of a service crash at the same moment while clients look up the same item.
func bystander(w *world, trouble bool) (verdict, error) {
	var runners []*runner
	for i := range deskRunners {
		r := &runner{names: w.names, store: w.store, id: fmt.Sprintf("i-%d", i), service: "desk", zone: "gp-a", slots: 48, version: "v1"}
		r.handle = w.serveDesk(r)
		if err := startRunner(r); err != nil {
			return verdict{}, err
		}
		runners = append(runners, r)
	}
	if _, err := w.store.put(w.names.Config, deskConfig(4, "orders")); err != nil {
		return verdict{}, err
	}
	if err := w.startMachines([]place{{"gp-a", "gauteng"}, {"gp-a", "gauteng"}, {"wc-a", "western-cape"}, {"kzn-a", "kzn"}}); err != nil {
		return verdict{}, err
	}
	time.Sleep(startWait / 2)
	if _, err := w.store.put(w.names.Config, deskConfig(7, "orders", "stock")); err != nil {
		return verdict{}, err
	}
	w.note("config    version 7 acknowledged: it adds the route /stock/")
	time.Sleep(startWait / 2)
	crashed := time.Now().Add(deskCrashAt)
	if trouble {
		time.AfterFunc(deskCrashAt, func() { w.crashRunners(runners[:deskCrashed]) })
	}
	lookups, orders := w.sendDesk()
	return w.judgeDesk(lookups, orders, crashed.Add(deskDown+deskSettled)), nil
}

// serveDesk answers after no longer than the site's order desk works at most.
func (w *world) serveDesk(r *runner) func(http.ResponseWriter, *http.Request) {
	return func(rw http.ResponseWriter, request *http.Request) {
		w.noteRun(request.Header.Get(w.names.Attempt), r)
		time.Sleep(time.Duration(200+rand.IntN(250)) * time.Millisecond)
		rw.Header()[w.names.Signature] = []string{"sig"}
		_, _ = fmt.Fprintf(rw, "done by %s", r.id) // the caller may have left
	}
}

// crashRunners lets runners crash, and others start in their place later.
func (w *world) crashRunners(runners []*runner) {
	for _, r := range runners {
		w.note("crash     %s", r.id)
		r.crash()
	}
	time.Sleep(deskDown)
	for _, r := range runners {
		again := &runner{names: w.names, store: w.store, id: r.id + "-again", service: r.service, zone: r.zone, slots: r.slots, version: r.version}
		again.handle = w.serveDesk(again)
		_ = startRunner(again) // one that does not come back is seen in the record
		w.note("back      %s", again.id)
	}
}

func deskConfig(version int, routes ...string) map[string]any {
	var listed []map[string]any
	for _, name := range routes {
		kind, attempts := "non_idempotent", 1
		if name == "stock" {
			kind, attempts = "idempotent", 2
		}
		listed = append(listed, map[string]any{
			"name": "r-" + name, "host": host, "prefix": "/" + name + "/", "kind": kind, "timeout_ms": 2500, "target_latency_ms": 500, "priority": 2,
			"service": "desk", "max_attempts": attempts, "sticky": false, "resumable": false, "home_regions": []string{},
		})
	}
	return map[string]any{
		"version": version, "routes": listed, "services": []map[string]any{plainService("desk")}, "limits": limits(),
	}
}

// sendDesk sends orders, each with a body of its own, and lookups of the same item to all machines in turn.
func (w *world) sendDesk() (lookups, orders []*deskSend) {
	client := newClient()
	var open sync.WaitGroup
	start := func(interval time.Duration, send func(n int) bool) *[]*deskSend {
		var all []*deskSend
		open.Go(func() {
			for n, until := 0, time.Now().Add(deskLength); time.Now().Before(until); n++ {
				begun := &deskSend{sent: time.Now()}
				all = append(all, begun)
				open.Go(func() { begun.served = send(n) })
				time.Sleep(interval)
			}
		})
		return &all
	}
	looked := start(lookupInterval, func(n int) bool {
		return w.send(client, w.machines[n%len(w.machines)], http.MethodGet, "/stock/2f", newAttempt(), nil) == http.StatusOK
	})
	ordered := start(orderInterval, func(n int) bool {
		body := []byte(newAttempt() + strings.Repeat("x", 600))
		return w.send(client, w.machines[n%len(w.machines)], http.MethodPost, "/orders/2f", newAttempt(), body) == http.StatusOK
	})
	open.Wait()
	return *looked, *ordered
}

// judgeDesk compares the shares of requests that are served on the later and on the first route in the steady state.
func (w *world) judgeDesk(lookups, orders []*deskSend, steady time.Time) verdict {
	later, laterServed := countServed(lookups, steady)
	first, firstServed := countServed(orders, steady)
	shareLater, shareFirst := float64(laterServed)/float64(max(1, later)), float64(firstServed)/float64(max(1, first))
	text := fmt.Sprintf("from contact_ms after the return of the runners on: %d of %d requests on the later route served (%.2f), %d of %d on the first route (%.2f)",
		laterServed, later, shareLater, firstServed, first, shareFirst)
	return verdict{later >= minLater && shareLater < shareFirst/laterDivisor, text}
}

func countServed(sends []*deskSend, from time.Time) (all, served int) {
	for _, s := range sends {
		if s.sent.Before(from) {
			continue
		}
		all++
		if s.served {
			served++
		}
	}
	return all, served
}
