package gate

import (
	"context"
	"encoding/hex"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/codec"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/mesh"
	"github.com/tanagerbridge/tanagerbridge/relay"
	"github.com/tanagerbridge/tanagerbridge/store"
)

const (
	// syncPath is the path at which other instances query changes of the list of endpoints and of the
	// configuration: syncPath + list position / configuration position / version in force [/ digests of
	// the list]. A position is era.revision.
	syncPath = "/tanager/sync/"
	// dataAgeDivisor limits the age of another instance's data to 1/dataAgeDivisor of the time within
	// which a change must take effect; if they are older, the instance reads the store itself.
	dataAgeDivisor = 2
	// maxWholeTransfers bounds the whole lists that are sent at the same time, so that new instances
	// spread over all that have the list.
	maxWholeTransfers = 4
	// outageInterval is the interval between two queries to any instance while the store does not
	// answer, and outageSilence the time without an answer before the first query.
	outageInterval = 500 * clock.Millisecond
	outageSilence  = 1200 * clock.Millisecond
	// maxOutageAge bounds the age of data that is taken from another instance during an outage.
	maxOutageAge = 5 * clock.Minute
	// syncTimeout bounds one query, maxSyncBytes its response. queryDivisor limits a query of a reader for
	// what is new to 1/queryDivisor of the time within which a change must take effect: data that are as old
	// as allowed, two queries without an answer and a call to the store must fit into that time. A response may have two
	// configurations with 37,000 customers, of 8 MB each.
	syncTimeout  = 800 * clock.Millisecond
	queryDivisor = 12
	maxSyncBytes = 32 << 20
)

// syncLimits are the maximum ages of the data that are taken from another instance, and the longest time
// that a query may take.
type syncLimits struct {
	list    clock.Span
	control clock.Span
	query   clock.Span
}

// syncResponse is the response to a query of another instance.
type syncResponse struct {
	List listDelta
	// Control is the operator's data if they are newer than those of the other instance.
	Control map[string]store.Item
	// ControlPosition and ControlAge describe the newest data of the operator.
	ControlPosition store.Position
	ControlAge      clock.Span
	// Era is the latest era of the store that the instance has seen; its data may be of an earlier one.
	Era store.Era
	// InForce is the data with the version in force, if that is higher than the one of the other instance
	// and Control does not have it.
	InForce map[string]store.Item
}

// freshLimits returns the limits for data that are as good as those of the store.
func freshLimits(settings Settings) syncLimits {
	list, control := boundOrDefault(settings.ListBound), boundOrDefault(settings.ControlBound)
	return syncLimits{list: list / dataAgeDivisor, control: control / dataAgeDivisor, query: min(syncTimeout, list/queryDivisor, control/queryDivisor)}
}

// firstLimits returns the same for an instance without data, which may have to wait for the whole list.
func firstLimits(settings Settings) syncLimits {
	limits := freshLimits(settings)
	limits.query = syncTimeout
	return limits
}

// syncDuringOutage queries any instance if neither the store nor a reader of it has answered
// recently.
func (s *Server) syncDuringOutage(ctx context.Context) {
	if s.clock.Now().Sub(s.state.lastAnswer()) >= outageSilence {
		s.syncWithAny(ctx)
	}
}

// syncWithAny queries any instance, preferably of this region, and accepts old data too.
func (s *Server) syncWithAny(ctx context.Context) {
	candidates := s.regionPeers()
	if len(candidates) == 0 {
		candidates = s.node.Alive()
	}
	if len(candidates) > 0 {
		s.syncFrom(ctx, candidates[s.randomUint64()%uint64(len(candidates))], syncLimits{maxOutageAge, maxOutageAge, syncTimeout})
	}
}

// syncFrom queries an instance, applies what is newer and reports whether the data are within the
// limits.
func (s *Server) syncFrom(ctx context.Context, peer mesh.Record, limits syncLimits) bool {
	ctx, cancel := context.WithTimeout(ctx, limits.query.Duration())
	defer cancel()
	var received syncResponse
	asked := s.clock.Now()
	data, err := s.queryInstance(ctx, peer.Hop, s.state.syncURI(), maxSyncBytes)
	if err == nil {
		err = codec.Decode(data, &received)
	}
	if err == nil && (received.List.Age > limits.list || received.ControlAge > limits.control || received.List.Age < 0 || received.ControlAge < 0) {
		err = fault.Newf("sync", KindPeerResponse, "list is %s old, configuration %s", received.List.Age, received.ControlAge)
	}
	if err != nil {
		s.log.Info("querying store data from another instance failed", zap.String("of", string(peer.Name)), zap.Error(err))
		return false
	}
	s.state.applySync(asked, received)
	return true
}

// queryInstance sends a query to another instance and returns the body of the response.
func (s *Server) queryInstance(ctx context.Context, address, uri string, limit int64) ([]byte, error) {
	return s.callInstance(ctx, http.MethodGet, address, uri, limit)
}

// callInstance sends a request to another instance and returns the body of the response.
func (s *Server) callInstance(ctx context.Context, method, address, uri string, limit int64) ([]byte, error) {
	response, err := s.state.relay(address).Do(ctx, &relay.Request{
		Method: method, URI: uri, Host: address, Header: http.Header{},
	}, repeatableConnIdle)
	if err != nil {
		return nil, err
	}
	defer response.Close()
	data, err := response.ReadAll(limit)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fault.Newf("query", KindPeerResponse, "status %d", response.StatusCode)
	}
	return data, nil
}

// syncQuery is a query of another instance.
type syncQuery struct {
	list    store.Position
	control store.Position
	// version is the version of the configuration in force; 0 if there is none.
	version ident.Version
	// digests is nil unless the lists have been found to differ.
	digests *digests
}

func (q syncQuery) uri() string {
	uri := syncPath + formatPosition(q.list) + "/" + formatPosition(q.control) + "/" + strconv.FormatUint(uint64(q.version), 10)
	if q.digests == nil {
		return uri
	}
	encoded := make([]byte, 0, 8*digestBuckets)
	for _, n := range q.digests {
		encoded = append(encoded, byte(n>>56), byte(n>>48), byte(n>>40), byte(n>>32), byte(n>>24), byte(n>>16), byte(n>>8), byte(n))
	}
	return uri + "/" + hex.EncodeToString(encoded)
}

func formatPosition(p store.Position) string {
	return strconv.FormatInt(int64(p.Era), 10) + "." + strconv.FormatInt(int64(p.Revision), 10)
}

func parsePosition(text string) (position store.Position, err error) {
	eraText, revisionText, _ := strings.Cut(text, ".")
	era, eraErr := strconv.ParseInt(eraText, 10, 64)
	revision, revisionErr := strconv.ParseInt(revisionText, 10, 64)
	return store.Position{Era: store.Era(era), Revision: store.Revision(revision)}, errors.Join(eraErr, revisionErr)
}

// parseSyncQuery parses the URI of a query.
func parseSyncQuery(uri string) (query syncQuery, err error) {
	fields := strings.Split(strings.TrimPrefix(uri, syncPath), "/")
	if len(fields) < 3 || len(fields) > 4 {
		return query, fault.Newf("sync", KindInvalid, "query has %d fields", len(fields))
	}
	list, listErr := parsePosition(fields[0])
	control, controlErr := parsePosition(fields[1])
	version, versionErr := strconv.ParseUint(fields[2], 10, 64)
	if err := errors.Join(listErr, controlErr, versionErr); err != nil {
		return query, fault.Wrap("sync", KindInvalid, err)
	}
	query.list, query.control, query.version = list, control, ident.Version(version)
	if len(fields) == 3 {
		return query, nil
	}
	encoded, err := hex.DecodeString(fields[3])
	if err != nil || len(encoded) != 8*digestBuckets {
		return query, fault.Newf("sync", KindInvalid, "malformed digests")
	}
	query.digests = new(digests)
	for i, b := range encoded {
		query.digests[i/8] = query.digests[i/8]<<8 | uint64(b)
	}
	return query, nil
}

// serveSync answers a query of another instance.
func (s *Server) serveSync(w http.ResponseWriter, r *http.Request) {
	query, err := parseSyncQuery(r.RequestURI)
	if err != nil {
		s.log.Warn("malformed query of another instance", zap.Error(err))
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	response, whole := s.state.syncResponse(query)
	if whole {
		if s.wholeTransfers.Add(1) > maxWholeTransfers {
			s.wholeTransfers.Add(-1)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer s.wholeTransfers.Add(-1)
	}
	data, err := codec.Encode(response)
	if err != nil {
		s.log.Error("encoding response to another instance failed", zap.Error(err))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	s.metrics.syncBytes.Inc(int64(len(data)))
	_, _ = w.Write(data) // an error only means that the instance has disconnected
}
