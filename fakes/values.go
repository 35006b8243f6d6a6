package fakes

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/tanagerbridge/tanagerbridge/fault"
)

const (
	// maxValueBytes is the size of the largest value that the configuration service accepts.
	maxValueBytes = 1 << 20
	// maxWatch bounds how long a watch stays pending.
	maxWatch = 5 * time.Minute
)

// valueStore is the configuration service: named values with all their revisions and a
// rate limit for reads.
type valueStore struct {
	rate float64

	mu          sync.Mutex
	revisions   map[string][][]byte // revision N is at index N-1
	staleBy     int                 // how many revisions readers are behind
	changed     chan struct{}       // closed and replaced at each change
	tokens      float64
	refilledAt  time.Time
	calls       int
	rateLimited int
}

func newValueStore(rate float64) *valueStore {
	return &valueStore{
		rate: rate, tokens: rate, refilledAt: time.Now(),
		revisions: map[string][][]byte{}, changed: make(chan struct{}),
	}
}

func (v *valueStore) set(name string, value []byte) (int, error) {
	if len(value) > maxValueBytes {
		return 0, fault.Newf("set", KindInvalid, "value too large: %d bytes, at most 1 MB are allowed", len(value))
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.revisions[name] = append(v.revisions[name], append([]byte(nil), value...))
	v.notify()
	return len(v.revisions[name]), nil
}

func (v *valueStore) setStale(revisions int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.staleBy = revisions
	v.notify()
}

// wakeWatches makes all pending watches read again.
func (v *valueStore) wakeWatches() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.notify()
}

// notify wakes all pending watches; v.mu is held.
func (v *valueStore) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

func (v *valueStore) callCounts() (all, limited int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.calls, v.rateLimited
}

// admit counts a call and reports whether it is within the rate limit, a token bucket that
// holds the calls of one second.
func (v *valueStore) admit() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	v.tokens = min(v.rate, v.tokens+now.Sub(v.refilledAt).Seconds()*v.rate)
	v.refilledAt = now
	v.calls++
	if v.tokens < 1 {
		v.rateLimited++
		return false
	}
	v.tokens--
	return true
}

// read returns the newest visible value and its revision, which is 0 if there is none, and
// a channel that is closed at the next change.
func (v *valueStore) read(name string) (value []byte, revision int, changed <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	all := v.revisions[name]
	revision = len(all)
	if revision > 0 {
		revision = max(1, revision-v.staleBy)
		value = all[revision-1]
	}
	return value, revision, v.changed
}

// await reads a value once its revision is above after or down returns true, or when wait
// or ctx has expired.
func (v *valueStore) await(ctx context.Context, name string, after int, wait time.Duration, down func() bool) ([]byte, int) {
	ctx, cancel := context.WithTimeout(ctx, min(wait, maxWatch))
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
		writeError(w, http.StatusTooManyRequests, "rate limit of the configuration service exceeded")
		return
	}
	query := r.URL.Query()
	after, err := strconv.Atoi(cmp.Or(query.Get("after"), "0"))
	wait, waitErr := strconv.Atoi(cmp.Or(query.Get("wait"), "0"))
	if err != nil || waitErr != nil {
		writeError(w, http.StatusBadRequest, "malformed query: after and wait must be integers")
		return
	}
	value, revision := p.values.await(r.Context(), mux.Vars(r)["name"], after, time.Duration(wait)*time.Millisecond, p.configUnavailable)
	switch {
	case p.configUnavailable():
		writeError(w, http.StatusServiceUnavailable, "outage")
	case revision == 0 && after == 0:
		writeError(w, http.StatusNotFound, "value not found")
	case revision <= after:
		w.WriteHeader(http.StatusNotModified)
	default:
		w.Header().Set("Revision", strconv.Itoa(revision))
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(value)
	}
}
