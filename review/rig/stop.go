package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// draftEvents is the number of events of a draft, and draftPause the pause between two.
	draftEvents = 24
	draftPause  = 200 * time.Millisecond
	// draftLimit is the time limit of a draft.
	draftLimit = 8 * time.Second
	// stopGap is the time between the stops of two instances: gap_s of roll_term in the small site.
	stopGap = 1300 * time.Millisecond
	// lateFrom is how long after the stop signal a request must be sent so that the end of the grace period does not
	// excuse that it is cut off.
	lateFrom = 3 * time.Second
	// stopChannels is the number of connections to each instance on which a draft is requested, one each stopSpacing,
	// from stopLead before lateFrom on. They are opened openLead before that.
	stopChannels = 60
	stopSpacing  = 500 * time.Microsecond
	stopLead     = 5 * time.Millisecond
	openLead     = 50 * time.Millisecond
	// quickRate is the rate of further requests of each group of callers, which are short. stopGroups is the number of
	// groups, which ask the directory at different times, groupOffset apart.
	quickRate   = 20
	stopGroups  = 6
	groupOffset = 170 * time.Millisecond
)

// draft is one request for a stream.
type draft struct {
	id       string
	sent     time.Duration
	events   int
	complete bool
	status   int
	ended    time.Duration
}

// playStop stops the two instances of a region one after the other, while the callers of the region go on to use the
// addresses that the directory names.
func playStop(w *world, trouble bool) (string, error) {
	r := route{
		name: "r-draft", prefix: "/lohu930/", kind: "streaming", service: "huvo11a", timeout: draftLimit, target: time.Second, attempts: 2,
		resumable: true, homes: []string{"gauteng"},
	}
	if err := w.startSmall(r, 4, answerDraft); err != nil {
		return "", err
	}
	stop := make(chan struct{})
	defer close(stop)
	groups := w.startGroups(r.prefix+"quick", stop)
	time.Sleep(2 * time.Second)
	var group sync.WaitGroup
	var lost [2]int
	for i, g := range w.gates[:2] {
		if trouble {
			if err := g.signal(syscall.SIGTERM); err != nil {
				return "", err
			}
		}
		began := time.Now()
		group.Go(func() { lost[i] = w.countLost(g, groups, r.prefix+"long", began) })
		time.Sleep(stopGap)
	}
	group.Wait()
	if lost[0]+lost[1] > 0 {
		return fmt.Sprintf("LOST: %d and %d drafts that were sent later than 3 s after the signal were passed on and cut off", lost[0], lost[1]), nil
	}
	return "", nil
}

// startGroups starts the groups of callers of the region, which request quick streams on new connections.
func (w *world) startGroups(path string, stop <-chan struct{}) (groups []*callers) {
	for n := range stopGroups {
		c := &callers{world: w, region: "gauteng", zone: "gp-a", first: n % 2}
		c.learn(c.resolve())
		go c.follow(stop)
		go c.askQuick(path, stop)
		groups = append(groups, c)
		time.Sleep(groupOffset)
	}
	return groups
}

// countLost requests drafts of an instance that was stopped at a time and returns how many were lost.
func (w *world) countLost(g *instance, groups []*callers, path string, began time.Time) (lost int) {
	time.Sleep(time.Until(began.Add(lateFrom - stopLead - openLead)))
	if !slices.ContainsFunc(groups, func(c *callers) bool { return slices.Contains(c.known(), g.front) }) {
		w.note("the directory does not name %s", g.name)
		return 0
	}
	for _, d := range requestDrafts(g.front, path, began) {
		w.note("%s to %s: sent %.4f s after the signal, status %d, %d events, complete %t, ended at %.3f s",
			d.id, g.name, d.sent.Seconds(), d.status, d.events, d.complete, d.ended.Seconds())
		if d.sent > lateFrom && d.events > 0 && !d.complete && d.ended-d.sent < draftLimit {
			lost++
		}
	}
	return lost
}

// answerDraft writes a stream: a long one event by event, a quick one at once.
func answerDraft(r *http.Request, conn net.Conn) bool {
	if !send(conn, signedHead(r)+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n") {
		return false
	}
	count, pause := draftEvents, draftPause
	if strings.HasSuffix(r.URL.Path, "quick") {
		count, pause = 2, 0
	}
	for n := range count {
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", n+1, n+1)
		if !send(conn, fmt.Sprintf("%x\r\n%s\r\n", len(event), event)) {
			return false
		}
		time.Sleep(pause)
	}
	return send(conn, "0\r\n\r\n")
}

// askQuick requests quick streams on new connections to the addresses that the directory names.
func (c *callers) askQuick(path string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second / quickRate):
			go c.requestQuick(path)
		}
	}
}

func (c *callers) requestQuick(path string) {
	id, address := newAttempt(), c.address()
	c.world.note("a caller sends %s POST %s to %s", id, path, address)
	got := exchange(address, request("POST", path, id, draftLimit), draftLimit)
	c.world.note("%s is answered %d, error %v", id, got.status, got.err)
}

// requestDrafts opens connections, requests one draft on each at times around lateFrom, and reads the answers.
func requestDrafts(address, path string, began time.Time) (drafts []*draft) {
	var conns []net.Conn
	for range stopChannels {
		if conn, err := net.DialTimeout("tcp", address, time.Second); err == nil { //nolint:noctx // bounded by its timeout
			conns = append(conns, conn)
		}
	}
	var group sync.WaitGroup
	for i, conn := range conns {
		time.Sleep(time.Until(began.Add(lateFrom - stopLead + time.Duration(i)*stopSpacing)))
		d := &draft{id: newAttempt(), sent: time.Since(began)}
		if _, err := io.WriteString(conn, request("POST", path, d.id, draftLimit)); err != nil {
			continue
		}
		drafts = append(drafts, d)
		group.Go(func() { d.read(conn, began) })
	}
	group.Wait()
	return drafts
}

func (d *draft) read(conn net.Conn, began time.Time) {
	defer conn.Close() //nolint:errcheck // the answer has been read
	_ = conn.SetDeadline(time.Now().Add(draftLimit + time.Second))
	defer func() { d.ended = time.Since(began) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	d.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	d.events, d.complete = strings.Count(string(body), "id: "), err == nil
}
