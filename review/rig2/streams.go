package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	streamEvents = 24
	streamLimit  = 8 * time.Second
	// streamTries bounds the resumptions of one stream.
	streamTries = 3
	// resolveTimeout is how long a client waits for the directory of a machine.
	resolveTimeout = time.Second
)

// serveStream answers a request with a stream, which goes on after the last event that the client has.
func serveStream(w *world, r *runner, interval time.Duration) func(http.ResponseWriter, *http.Request) {
	return func(rw http.ResponseWriter, request *http.Request) {
		w.noteRun(request.Header.Get(w.names.Attempt), r)
		header := rw.Header()
		header[w.names.Signature] = []string{"sig"}
		header["Content-Type"] = []string{"text/event-stream"}
		last, _ := strconv.Atoi(request.Header.Get(w.names.LastEvent))
		for id := last + 1; id <= streamEvents; id++ {
			if id > 1 {
				time.Sleep(interval)
			}
			_, err := fmt.Fprintf(rw, "id: %d\ndata: piece %d of %s\n\n", id, id, r.version)
			if err != nil || request.Context().Err() != nil || http.NewResponseController(rw).Flush() != nil {
				return
			}
		}
	}
}

// clientStream is what one client does to get a stream.
type clientStream struct {
	w      *world
	client *http.Client
	region string
	// first is the first client attempt, and began when it was sent.
	first  string
	began  time.Time
	failed []string
	// events is the number of events that the client has, and versions those of the runners that made them.
	events   int
	versions []string
	complete bool
	// broken is when the first channel broke, and resumedAt the machines at which the client took the stream up again.
	broken    time.Time
	resumedAt []string
	// goneOn reports whether a resumption brought events.
	goneOn bool
}

// resolve asks the machines in turn, as a client does, which addresses it should use.
func (c *clientStream) resolve() []string {
	for _, m := range c.w.machines {
		ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
		addresses := c.ask(ctx, m)
		cancel()
		if len(addresses) > 0 {
			return addresses
		}
	}
	return nil
}

func (c *clientStream) ask(ctx context.Context, m *machine) []string {
	query := url.Values{"name": {host}, "region": {c.region}, "zone": {m.place.zone}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.w.address(m.ip, 3)+"/resolve?"+query.Encode(), nil)
	if err != nil {
		return nil
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil
	}
	defer response.Body.Close() //nolint:errcheck // the body is read
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(response.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}

// choose returns one of the machines that the directory names and that have not failed this client, or nil.
func (c *clientStream) choose() *machine {
	named := slices.DeleteFunc(c.resolve(), func(a string) bool { return slices.Contains(c.failed, a) })
	if len(named) == 0 {
		return nil
	}
	address := named[rand.IntN(len(named))]
	index := slices.IndexFunc(c.w.machines, func(m *machine) bool { return m.frontOf(c.w) == address })
	if index < 0 {
		return nil
	}
	return c.w.machines[index]
}

// run gets the stream from a machine, and takes it up again elsewhere if the channel breaks.
func (c *clientStream) run(at *machine) {
	c.began = time.Now()
	wait, ended := c.exchange(at, c.first)
	if ended || c.events == 0 {
		return
	}
	c.broken = time.Now()
	for n := 1; n <= streamTries && !c.complete && time.Since(c.began)+wait < streamLimit; n++ {
		time.Sleep(wait)
		next := c.choose()
		if next == nil {
			wait = resolveTimeout / 4
			continue
		}
		before := c.events
		c.resumedAt = append(c.resumedAt, next.name)
		wait, _ = c.exchange(next, newAttempt())
		c.goneOn = c.goneOn || c.events > before
	}
}

// exchange sends one client attempt. It returns when to come back, and whether the stream has ended whole.
func (c *clientStream) exchange(at *machine, attempt string) (wait time.Duration, ended bool) {
	left := streamLimit - time.Since(c.began)
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at.frontOf(c.w)+"/draft/1", strings.NewReader(c.first))
	if err != nil {
		return 0, false
	}
	request.Host, request.GetBody = host, nil
	request.Header.Set(c.w.names.Attempt, attempt)
	request.Header.Set(c.w.names.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	if attempt != c.first {
		request.Header.Set(c.w.names.FirstAttempt, c.first)
		request.Header.Set(c.w.names.LastEvent, strconv.Itoa(c.events))
	}
	c.w.note("sent      %s to %s, has %d events", attempt, at.name, c.events)
	response, err := c.client.Do(request)
	if err != nil {
		c.failed = append(c.failed, at.frontOf(c.w))
		c.w.note("answered  %s: channel broken before an answer", attempt)
		return 0, false
	}
	defer response.Body.Close() //nolint:errcheck // the body is read
	if response.StatusCode != http.StatusOK {
		after, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		c.w.note("answered  %s: %d, come back after %.3f s", attempt, response.StatusCode, after)
		return min(time.Duration(after*float64(time.Second)), left/3), false
	}
	err = c.read(response)
	c.complete = err == nil && c.events == streamEvents
	if err != nil {
		c.failed = append(c.failed, at.frontOf(c.w))
	}
	c.w.note("answered  %s: 200, has %d events now, of %v, whole %t", attempt, c.events, c.versions, err == nil)
	return 0, c.complete
}

// read reads events until the end of the response.
func (c *clientStream) read(response *http.Response) error {
	lines := bufio.NewScanner(response.Body)
	id, version := 0, ""
	for lines.Scan() {
		line := lines.Text()
		switch {
		case line == "":
			c.events = id
			if !slices.Contains(c.versions, version) {
				c.versions = append(c.versions, version)
			}
		case strings.HasPrefix(line, "id: "):
			id, _ = strconv.Atoi(line[4:])
		default:
			version = line[strings.LastIndex(line, " ")+1:]
		}
	}
	return lines.Err()
}

// streamLoad starts streams at machines in turn, at a fixed interval and for a time.
func (w *world) streamLoad(at []*machine, interval, length time.Duration) func() []*clientStream {
	var all []*clientStream
	var open sync.WaitGroup
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		client := newClient()
		for n, until := 0, time.Now().Add(length); time.Now().Before(until); n++ {
			target := at[n%len(at)]
			begun := &clientStream{w: w, client: client, region: target.place.region, first: newAttempt()}
			all = append(all, begun)
			open.Go(func() { begun.run(target) })
			time.Sleep(interval)
		}
	}()
	return func() []*clientStream {
		<-ended
		open.Wait()
		return all
	}
}
