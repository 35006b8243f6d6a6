// Package resume remembers the origin of streams, the service and the version of the endpoints' software that wrote
// the first event, so that a caller that lost its connection can resume a stream at any instance without joining
// two versions.
package resume

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// Life is the longest time from the first event of a stream to its last resumption.
	Life = 30 * clock.Second
	// maxStreams bounds the streams of one generation, which take about 2 MB, and those that are not shared yet.
	maxStreams = 16384
	// maxAttemptBytes bounds the id of an attempt. Streams of attempts with longer ids can't be resumed.
	maxAttemptBytes = 128
)

// Attempt is the id of a caller's attempt.
type Attempt string

// Stream tells the origin of a stream.
type Stream struct {
	// Attempt brought the first event.
	Attempt Attempt       `msgpack:"attempt"`
	Service ident.Service `msgpack:"service"`
	Build   ident.Build   `msgpack:"build"`
}

// Begun is a stream that began at this instance.
type Begun struct {
	Stream
	// Homes lists the regions that may learn of the stream; empty means all.
	Homes []ident.Region
	at    clock.Time
}

// Table holds the streams that began within Life, here or elsewhere. It is not safe for concurrent use.
type Table struct {
	// current holds the streams since rotated, previous those of the generation before.
	current, previous map[Attempt]Stream
	rotated           clock.Time
	// unshared lists the streams that began here and that no other instance knows, the oldest first.
	unshared []Begun
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{current: make(map[Attempt]Stream)} }

// Begin records a stream that begins at this instance and is to be shared with instances of the given regions;
// none means all.
func (t *Table) Begin(now clock.Time, stream Stream, homes []ident.Region) {
	if known, ok := t.Find(now, stream.Attempt); ok && known == stream {
		return
	}
	if !t.Put(now, stream) {
		return
	}
	if len(t.unshared) >= maxStreams {
		t.unshared = t.unshared[1:]
	}
	t.unshared = append(t.unshared, Begun{stream, homes, now})
}

// Put records a stream that another instance shares, and reports whether it is acceptable.
func (t *Table) Put(now clock.Time, stream Stream) bool {
	if stream.Attempt == "" || len(stream.Attempt) > maxAttemptBytes || stream.Build == "" {
		return false
	}
	t.rotate(now)
	t.current[stream.Attempt] = stream
	return true
}

// Find returns the stream whose first event an attempt brought.
func (t *Table) Find(now clock.Time, attempt Attempt) (Stream, bool) {
	t.rotate(now)
	if stream, ok := t.current[attempt]; ok {
		return stream, true
	}
	stream, ok := t.previous[attempt]
	return stream, ok
}

// rotate begins a new generation once the current one is old or full.
func (t *Table) rotate(now clock.Time) {
	age := now.Sub(t.rotated)
	if age < Life && len(t.current) < maxStreams {
		return
	}
	t.previous, t.current, t.rotated = t.current, make(map[Attempt]Stream), now
	if age >= 2*Life {
		t.previous = nil
	}
}

// TakeUnshared returns the streams that began here and have not been returned yet, of the services that must be
// shared. The others are kept as long as they may be resumed.
func (t *Table) TakeUnshared(now clock.Time, mustShare func(ident.Service) bool) (taken []Begun) {
	kept := t.unshared[:0]
	for _, b := range t.unshared {
		switch {
		case now.Sub(b.at) > Life:
		case mustShare(b.Service):
			taken = append(taken, b)
		default:
			kept = append(kept, b)
		}
	}
	clear(t.unshared[len(kept):])
	t.unshared = kept
	return taken
}
