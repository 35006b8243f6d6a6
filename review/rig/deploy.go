package main

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"
)

const (
	// readyLimit bounds the time until all instances are ready, and settleTime is the time after that in which they
	// find each other.
	readyLimit = 10 * time.Second
	settleTime = 3 * time.Second
)

// route is a route of the desired state.
type route struct {
	name, prefix, kind, service string
	timeout, target             time.Duration
	attempts                    int
	resumable                   bool
	homes                       []string
}

// stockRoute returns a route for stock lookups, with the figures of the small site.
func stockRoute(name, prefix string, homes ...string) route {
	return route{
		name: name, prefix: prefix, kind: "idempotent", service: "xano55b", timeout: 5 * time.Second, target: 500 * time.Millisecond, attempts: 2,
		homes: homes,
	}
}

// startSmall starts the small deployment: two instances in gauteng and one in each of the other regions, and a number
// of endpoints in gauteng for one route.
func (w *world) startSmall(r route, endpoints int, answer func(r *http.Request, c net.Conn) bool) error {
	for _, at := range [][2]string{{"edge-gp-a-1", "gp-a"}, {"edge-gp-a-2", "gp-a"}, {"edge-wc-a-1", "wc-a"}, {"edge-kzn-a-1", "kzn-a"}} {
		if _, err := w.newInstance(at[0], zones[at[1]], at[1]); err != nil {
			return err
		}
	}
	for range endpoints {
		if _, err := w.addEndpoint(r.service, "gp-a", answer); err != nil {
			return err
		}
	}
	if err := w.publishConfig(4, r); err != nil {
		return err
	}
	return w.startAll(w.usualSeeds(), true)
}

// usualSeeds returns the addresses of one instance of each zone.
func (w *world) usualSeeds() []string {
	return []string{w.gates[0].control, w.gates[2].control, w.gates[3].control}
}

// startAll starts all instances and waits until they are ready.
func (w *world) startAll(seeds []string, first bool) error {
	for _, g := range w.gates {
		g.seeds, g.first = seeds, first
		if err := g.writeSettings(); err != nil {
			return err
		}
		if err := g.start(); err != nil {
			return err
		}
	}
	if err := w.awaitReady(readyLimit); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// publishConfig writes a desired state with the given routes.
func (w *world) publishConfig(version int, routes ...route) error {
	var routeValues, serviceValues []any
	var services []string
	for _, r := range routes {
		if !slices.Contains(services, r.service) {
			services = append(services, r.service)
		}
		routeValues = append(routeValues, map[string]any{
			"name": r.name, "host": "ficu95.example", "prefix": r.prefix, "kind": r.kind, "timeout_ms": r.timeout.Milliseconds(),
			"target_latency_ms": r.target.Milliseconds(), "priority": 2, "service": r.service, "max_attempts": r.attempts,
			"sticky": false, "resumable": r.resumable, "gap_aim_ms": 400, "home_regions": append([]string{}, r.homes...),
		})
	}
	for _, s := range services {
		serviceValues = append(serviceValues, map[string]any{
			"name": s, "health_path": "/healthz", "max_connections": 290, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 6.6,
		})
	}
	w.note("the operator publishes version %d", version)
	return w.store.put(names["config"], map[string]any{
		"version": version, "routes": routeValues, "services": serviceValues,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// callers are the callers of one region. They ask the directory which instances to use.
type callers struct {
	world        *world
	region, zone string
	// first is the position of the instance of the region that these callers ask first.
	first     int
	mu        sync.Mutex
	addresses []string
}

// follow keeps the addresses up to date until stop is closed. An answer is used for a second, and longer if there is
// no new one.
func (c *callers) follow(stop <-chan struct{}) {
	for {
		if found := c.resolve(); len(found) > 0 {
			c.learn(found)
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

func (c *callers) learn(found []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.Equal(found, c.addresses) {
		c.world.note("the directory names %v to the callers of %s that ask instance %d first", found, c.region, c.first+1)
	}
	c.addresses = found
}

// resolve asks up to three instances, those of the region first.
func (c *callers) resolve() []string {
	var near, far []*instance
	for _, g := range c.world.gates {
		if g.region == c.region {
			near = append(near, g)
		} else {
			far = append(far, g)
		}
	}
	near = slices.Concat(near[c.first:], near[:c.first])
	query := url.Values{"name": {"ficu95.example"}, "region": {c.region}, "zone": {c.zone}}.Encode()
	for i, g := range append(near, far...) {
		if i == 3 {
			break
		}
		got := exchange(g.directory, "GET /resolve?"+query+" HTTP/1.1\r\nHost: directory\r\nConnection: close\r\n\r\n", time.Second)
		var answer struct {
			Addresses []string `json:"addresses"`
		}
		if got.err == nil && got.status == 200 && json.Unmarshal([]byte(got.body), &answer) == nil && len(answer.Addresses) > 0 {
			slices.Sort(answer.Addresses)
			return answer.Addresses
		}
	}
	return nil
}

// known returns the addresses that the callers use.
func (c *callers) known() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.addresses)
}

// address returns one of the addresses at random, or "" if there are none.
func (c *callers) address() string {
	known := c.known()
	if len(known) == 0 {
		return ""
	}
	return known[rand.IntN(len(known))]
}

// errNoAddress says that the directory has not named any instance.
var errNoAddress = errors.New("no address")

// ask sends requests for a path at a steady rate until stop is closed, and returns when all have been answered.
func (c *callers) ask(path string, perSecond float64, t *tally, stop <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		group.Go(func() { t.add(path, c.askOnce(path)) })
	}
}

// askOnce sends one request on a new connection.
func (c *callers) askOnce(path string) reply {
	id, address := newAttempt(), c.address()
	c.world.note("%s: a caller sends %s GET %s to %s", c.region, id, path, address)
	got := reply{err: errNoAddress}
	if address != "" {
		got = exchange(address, request("GET", path, id, callLimit), callLimit)
	}
	c.world.note("%s: %s is answered %d, error %v", c.region, id, got.status, got.err)
	return got
}

// callLimit is how long the callers wait for a call.
const callLimit = 5 * time.Second
