package gate

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/store"
)

const (
	// viewPath is the path at which other instances query the newest data of the store that this one
	// holds.
	viewPath = "/tanager/view"
	// viewInterval is the interval between two queries to other instances while the store does not
	// answer, and viewSilence the time without an answer of the store or of the instance that supplies
	// the list before the first query.
	viewInterval = 500 * clock.Millisecond
	viewSilence  = 1200 * clock.Millisecond
	// viewTimeout bounds one query.
	viewTimeout = 800 * clock.Millisecond
	// maxViewBytes bounds the response to a query.
	maxViewBytes = 16 << 20
	// maxViewAge bounds the age of data from another instance.
	maxViewAge = 5 * clock.Minute
)

// view is the newest data of the store that an instance holds, with the age of each part.
type view struct {
	Control snapshotMessage `msgpack:"c"`
	List    snapshotMessage `msgpack:"l"`
}

// snapshotMessage is the wire form of a snapshot.
type snapshotMessage struct {
	Items    map[string]store.Item `msgpack:"i"`
	Revision store.Revision        `msgpack:"a"`
	Age      clock.Span            `msgpack:"g"`
}

func newSnapshotMessage(now clock.Time, snapshot store.Snapshot) snapshotMessage {
	return snapshotMessage{Items: snapshot.Items, Revision: snapshot.Revision, Age: now.Sub(snapshot.Started)}
}

// newer returns the message as a snapshot and reports whether it is newer than the known one.
func (m snapshotMessage) newer(now clock.Time, known store.Snapshot) (store.Snapshot, bool) {
	snapshot := store.Snapshot{Items: m.Items, Revision: m.Revision, Started: now.Add(-m.Age)}
	return snapshot, m.Items != nil && m.Age >= 0 && m.Age < maxViewAge && snapshot.Revision > known.Revision
}

// serveView returns the newest data of the store that this instance holds.
func (s *Server) serveView(w http.ResponseWriter, _ *http.Request) {
	control, list := s.state.snapshots()
	now := s.clock.Now()
	s.writeMsgpack(w, view{Control: newSnapshotMessage(now, control), List: newSnapshotMessage(now, list)})
}

// refreshView queries another instance if neither the store nor the instance that supplies the list
// has answered recently.
func (s *Server) refreshView(ctx context.Context) {
	if s.clock.Now().Sub(s.state.lastAnswer()) >= viewSilence {
		s.requestView(ctx)
	}
}

// requestView queries another instance and applies the parts that are newer.
func (s *Server) requestView(ctx context.Context) {
	alive := s.node.Alive()
	if len(alive) == 0 {
		return
	}
	peer := alive[s.randomUint64()%uint64(len(alive))]
	ctx, cancel := context.WithTimeout(ctx, viewTimeout.Duration())
	defer cancel()
	var received view
	if err := s.query(ctx, peer.Hop, viewPath, &received); err != nil {
		s.log.Info("querying store data from another instance failed", zap.String("of", string(peer.Name)), zap.Error(err))
		return
	}
	now := s.clock.Now()
	control, list := s.state.snapshots()
	if snapshot, ok := received.Control.newer(now, control); ok {
		s.log.Info("configuration taken from another instance", zap.String("of", string(peer.Name)), zap.Int64("age", int64(received.Control.Age)))
		s.state.applyControl(snapshot)
	}
	if snapshot, ok := received.List.newer(now, list); ok {
		s.log.Info("endpoints taken from another instance", zap.String("of", string(peer.Name)), zap.Int64("age", int64(received.List.Age)))
		s.state.applyList(snapshot)
	}
}
