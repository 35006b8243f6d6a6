package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// floodEntries is the number of unreadable entries, and floodBytes the size of each, which is value_bytes.
	floodEntries = 12
	floodBytes   = 1 << 20
	// drainTime is drain_ms.
	drainTime = 3 * time.Second
	// drainWatch is how long after drainTime requests are watched for.
	drainWatch = 8 * time.Second
)

// runLog records when requests ran at each endpoint.
type runLog struct {
	mu   sync.Mutex
	runs map[string][]time.Time
}

// playFlood publishes entries that can't be read, lets an endpoint drain and another one take its place, and counts the
// requests that reach the first one later than drain_ms after that.
func playFlood(w *world, trouble bool) (string, error) {
	ran := &runLog{runs: make(map[string][]time.Time)}
	answer := func(r *http.Request, c net.Conn) bool {
		ran.add(r.Header.Get(names["target"]))
		return answerShortly(r, c)
	}
	r := stockRoute("r-stock", "/puxa403/")
	if err := w.startSmall(r, 2, answer); err != nil {
		return "", err
	}
	leaving, err := w.addEndpoint(r.service, "gp-a", answer)
	if err != nil {
		return "", err
	}
	time.Sleep(settleTime / 2)
	if trouble {
		w.publishUnreadable()
	}
	time.Sleep(settleTime / 2)
	stop, asked := make(chan struct{}), make(chan *tally, 1)
	go func() { asked <- w.askAll(r.prefix+"2f", stop) }()
	if err := leaving.drain(); err != nil {
		return "", err
	}
	acknowledged := time.Now()
	next, err := w.addEndpoint(r.service, "gp-a", answer)
	if err != nil {
		return "", err
	}
	time.Sleep(drainTime + drainWatch)
	late, atNext := ran.countAfter(leaving.id, acknowledged.Add(drainTime)), ran.countAfter(next.id, acknowledged)
	close(stop)
	w.note("callers: %v", <-asked)
	w.note("later than drain_ms after the ack %d requests reached %s, which drains; %d reached %s, which is new", late, leaving.id, atNext, next.id)
	if late > 0 {
		return fmt.Sprintf("DRAIN: %d requests reached a draining endpoint later than 3 s after the ack, and %d a new one", late, atNext), nil
	}
	return "", nil
}

// publishUnreadable writes entries of another writer whose bytes can't be read.
func (w *world) publishUnreadable() {
	value := bytes.Repeat([]byte{0xff, 0x00, 0xfe, 0x7f}, floodBytes/4)
	for n := range floodEntries {
		w.store.apply(storeItem{Key: fmt.Sprintf("%si-0dd%05d", names["servers"], n), Value: value})
	}
	w.note("another writer has published %d entries of %d bytes that can't be read", floodEntries, floodBytes)
}

// drain publishes that the endpoint drains. It goes on to serve, as endpoints do for a while.
func (e *endpoint) drain() error {
	entry := e.entry()
	entry["state"], entry["seq"] = "draining", 2
	e.world.note("%s publishes that it drains", e.id)
	return e.world.store.put(names["servers"]+e.id, entry)
}

// askAll lets the callers of all regions ask for a path until stop is closed.
func (w *world) askAll(path string, stop <-chan struct{}) *tally {
	t := newTally()
	var group sync.WaitGroup
	for zone, region := range zones {
		c := &callers{world: w, region: region, zone: zone}
		c.learn(c.resolve())
		group.Go(func() { c.follow(stop) })
		group.Go(func() { c.ask(path, regionRates[region], t, stop) })
	}
	group.Wait()
	return t
}

func (l *runLog) add(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[endpoint] = append(l.runs[endpoint], time.Now())
}

// countAfter returns the number of requests that an endpoint ran after a time.
func (l *runLog) countAfter(endpoint string, after time.Time) (count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.runs[endpoint] {
		if t.After(after) {
			count++
		}
	}
	return count
}
