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
	// lateFrom is how long after the stop signal a request must be sent so that the end of the grace period does not
	// excuse that it is cut off.
	lateFrom = 3 * time.Second
	// stopChannels is the number of kept connections to each instance. A draft is requested on one of them each
	// stopSpacing, from stopLead before lateFrom on.
	stopChannels = 60
	stopSpacing  = time.Millisecond
	stopLead     = 10 * time.Millisecond
	// quickRate is the rate of further requests to each instance, which are short.
	quickRate = 40
)

// channel is a connection that a caller keeps.
type channel struct {
	net.Conn
	address string
}

// draft is one request for a stream.
type draft struct {
	id       string
	sent     time.Duration
	events   int
	complete bool
	status   int
	ended    time.Duration
}

// playStop stops the two instances of a region at the same time, while the callers of the region go on to use the
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
	var groups []*callers
	for n := range 2 {
		c := &callers{world: w, region: "gauteng", zone: "gp-a", first: n}
		c.learn(c.resolve())
		go c.follow(stop)
		groups = append(groups, c)
	}
	time.Sleep(2 * time.Second)
	channels, err := w.openChannels(r.prefix)
	if err != nil {
		return "", err
	}
	if trouble {
		for _, g := range w.gates[:2] {
			if err := g.signal(syscall.SIGTERM); err != nil {
				return "", err
			}
		}
	}
	began := time.Now()
	for _, c := range groups {
		go c.askQuick(r.prefix+"quick", stop)
	}
	lost := 0
	for _, d := range w.requestDrafts(groups, channels, r.prefix+"long", began) {
		w.note("%s: sent %.4f s after the signal, status %d, %d events, complete %t, ended at %.3f s", d.id, d.sent.Seconds(), d.status, d.events, d.complete, d.ended.Seconds())
		if d.sent > lateFrom && d.events > 0 && !d.complete && d.ended-d.sent < draftLimit {
			lost++
		}
	}
	if lost > 0 {
		return fmt.Sprintf("LOST: %d drafts that were sent later than 3 s after the signal were passed on and cut off", lost), nil
	}
	return "", nil
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

// openChannels opens connections to the instances of the region and uses each for a quick stream.
func (w *world) openChannels(prefix string) (channels []channel, err error) {
	for n := range 2 * stopChannels {
		address := w.gates[n%2].front
		conn, err := net.DialTimeout("tcp", address, time.Second) //nolint:noctx // bounded by its timeout
		if err != nil {
			return nil, err
		}
		got := exchangeOn(conn, bufio.NewReader(conn), request("POST", prefix+"quick", newAttempt(), draftLimit), draftLimit)
		if got.err != nil || got.status != http.StatusOK {
			return nil, fmt.Errorf("opening a channel: status %d, error %w", got.status, got.err)
		}
		channels = append(channels, channel{conn, address})
	}
	return channels, nil
}

// askQuick requests quick streams on new connections to the addresses that the directory names.
func (c *callers) askQuick(path string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second / quickRate):
		}
		for _, address := range c.known() {
			go exchange(address, request("POST", path, newAttempt(), draftLimit), draftLimit)
		}
	}
}

// requestDrafts requests one draft on each connection whose address the directory names, at times around lateFrom,
// and reads the answers.
func (w *world) requestDrafts(groups []*callers, channels []channel, path string, began time.Time) (drafts []*draft) {
	var group sync.WaitGroup
	for i, conn := range channels {
		time.Sleep(time.Until(began.Add(lateFrom - stopLead + time.Duration(i)*stopSpacing)))
		if !slices.ContainsFunc(groups, func(c *callers) bool { return slices.Contains(c.known(), conn.address) }) {
			w.note("the directory does not name %s any more", conn.address)
			_ = conn.Close()
			continue
		}
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
