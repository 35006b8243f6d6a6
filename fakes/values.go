package fakes

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/tanagerbridge/tanagerbridge/fault"
)

const (
	// valueLimit is the largest value that the configuration service holds.
	valueLimit = 1 << 20
	// watchLimit bounds how long a watch is kept pending.
	watchLimit = 5 * time.Minute
)

// values is the configuration service: named values with all their revisions.
type values struct {
	rate float64

	mu      sync.Mutex
	names   map[string][][]byte // revision N is at index N-1
	behind  int                 // revisions that readers are shown late
	changed chan struct{}       // closed and replaced at each change
	tokens  float64
	filled  time.Time
	calls   int
	limited int
}

func newValues(rate float64) *values {
	return &values{
		rate: rate, tokens: rate, filled: time.Now(),
		names: map[string][][]byte{}, changed: make(chan struct{}),
	}
}

func (v *values) set(name string, value []byte) (int, error) {
	if len(value) > valueLimit {
		return 0, fault.Newf("set", KindInvalid, "%d bytes are over the limit", len(value))
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.names[name] = append(v.names[name], append([]byte(nil), value...))
	v.signal()
	return len(v.names[name]), nil
}

func (v *values) stale(revisions int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.behind = revisions
	v.signal()
}

// poke wakes all watches.
func (v *values) poke() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.signal()
}

func (v *values) signal() {
	close(v.changed)
	v.changed = make(chan struct{})
}

func (v *values) counts() (all, limited int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.calls, v.limited
}

// admit counts a call and reports whether it is within the rate; the bucket
// holds one second's worth of calls.
func (v *values) admit() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	v.tokens = min(v.rate, v.tokens+now.Sub(v.filled).Seconds()*v.rate)
	v.filled = now
	v.calls++
	if v.tokens < 1 {
		v.limited++
		return false
	}
	v.tokens--
	return true
}

// read returns the newest revision that readers see; it is 0 if there is none.
func (v *values) read(name string) (value []byte, revision int, changed <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	all := v.names[name]
	revision = len(all)
	if revision > 0 {
		revision = max(1, revision-v.behind)
		value = all[revision-1]
	}
	return value, revision, v.changed
}

// await is read that waits for a revision above after.
func (v *values) await(ctx context.Context, name string, after int, wait time.Duration, down func() bool) ([]byte, int) {
	ctx, cancel := context.WithTimeout(ctx, min(wait, watchLimit))
	defer cancel()
	for {
		value, revision, changed := v.read(name)
		if revision > after || down() {
			return value, revision
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return value, revision
		}
	}
}

// value serves GET /v1/value/{name}?after=REV&wait=MS.
func (p *Platform) value(w http.ResponseWriter, r *http.Request) {
	if !p.values.admit() {
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusTooManyRequests, "over the rate limit")
		return
	}
	q := r.URL.Query()
	after, err := strconv.Atoi(or(q.Get("after"), "0"))
	wait, err2 := strconv.Atoi(or(q.Get("wait"), "0"))
	if err != nil || err2 != nil {
		writeError(w, http.StatusBadRequest, "want numbers")
		return
	}
	value, revision := p.values.await(r.Context(), mux.Vars(r)["name"], after, time.Duration(wait)*time.Millisecond, p.mute)
	switch {
	case p.mute():
		writeError(w, http.StatusServiceUnavailable, "outage")
	case revision == 0 && after == 0:
		writeError(w, http.StatusNotFound, "no such value")
	case revision <= after:
		w.WriteHeader(http.StatusNotModified)
	default:
		w.Header().Set("Revision", strconv.Itoa(revision))
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(value)
	}
}
