package gate

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/store"
)

const (
	// pathView is where an instance tells another one what it has read from the store.
	pathView = "/tanager/view"
	// viewPause is the pause between two questions to other instances while the store does
	// not answer, and viewAfter how long it must have been silent before the first.
	viewPause = 500 * clock.Millisecond
	viewAfter = 1200 * clock.Millisecond
	// viewTimeout bounds a question.
	viewTimeout = 800 * clock.Millisecond
	// maxView bounds an answer in bytes.
	maxView = 16 << 20
	// maxViewAge is how old what another instance has read may be.
	maxViewAge = 5 * clock.Minute
)

// view is what an instance has read from the store, with the ages of the readings.
type view struct {
	Control reading `msgpack:"c"`
	List    reading `msgpack:"l"`
}

// reading is a snapshot in the form for other instances.
type reading struct {
	Items map[string]store.Item `msgpack:"i"`
	At    store.Revision        `msgpack:"a"`
	Age   clock.Span            `msgpack:"g"`
}

func encodeReading(now clock.Time, s store.Snapshot) reading {
	return reading{Items: s.Items, At: s.At, Age: now.Sub(s.Read)}
}

// newer returns the reading as a snapshot if it is newer than what is known.
func (r reading) newer(now clock.Time, known store.Snapshot) (store.Snapshot, bool) {
	s := store.Snapshot{Items: r.Items, At: r.At, Read: now.Add(-r.Age)}
	return s, r.Items != nil && r.Age >= 0 && r.Age < maxViewAge && s.At > known.At
}

// answerView tells another instance what this one has read.
func (s *Server) answerView(w http.ResponseWriter, _ *http.Request) {
	control, list := s.state.snapshots()
	now := s.clock.Now()
	s.answer(w, view{Control: encodeReading(now, control), List: encodeReading(now, list)})
}

// learn asks another instance for what it has read while the store does not answer here.
func (s *Server) learn(ctx context.Context) {
	if s.clock.Now().Sub(s.state.lastRead()) >= viewAfter {
		s.askView(ctx)
	}
}

// askView takes what another instance has read from the store if that is newer.
func (s *Server) askView(ctx context.Context) {
	alive := s.node.Alive()
	if len(alive) == 0 {
		return
	}
	peer := alive[s.random()%uint64(len(alive))]
	ctx, cancel := context.WithTimeout(ctx, viewTimeout.Duration())
	defer cancel()
	var v view
	if err := s.ask(ctx, peer.Hop, pathView, &v); err != nil {
		s.log.Info("no view from another instance", zap.String("of", string(peer.Name)), zap.Error(err))
		return
	}
	now := s.clock.Now()
	control, list := s.state.snapshots()
	if n, ok := v.Control.newer(now, control); ok {
		s.log.Info("configuration taken from another instance", zap.String("of", string(peer.Name)), zap.Int64("age", int64(v.Control.Age)))
		s.state.controlChanged(n)
	}
	if n, ok := v.List.newer(now, list); ok {
		s.log.Info("endpoints taken from another instance", zap.String("of", string(peer.Name)), zap.Int64("age", int64(v.List.Age)))
		s.state.listChanged(n)
	}
}
