package gate

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/codec"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/mesh"
	"github.com/tanagerbridge/tanagerbridge/pool"
	"github.com/tanagerbridge/tanagerbridge/relay"
	"github.com/tanagerbridge/tanagerbridge/resume"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

const (
	// streamPath is the path at which other instances ask for the origin of a stream: streamPath + service / attempt.
	streamPath = "/tanager/stream/"
	// onlyRecord at the end of that path asks for a record alone, without a conclusion from the list.
	onlyRecord = "/record"
	// shareInterval is the interval at which the streams that began are shared, and maxSharedStreams bounds
	// those in one datagram.
	shareInterval    = 100 * clock.Millisecond
	maxSharedStreams = 64
	// anyListAge accepts a list of any time.
	anyListAge clock.Time = 0
	// originTimeout bounds the questions to other instances about one stream, and maxOriginBytes an answer.
	originTimeout  = 600 * clock.Millisecond
	maxOriginBytes = 1 << 10
	// unknownRetryAfter is when a caller is asked to come again if nobody knows the origin of its stream.
	unknownRetryAfter = 500 * clock.Millisecond
	// headerBuild names the version of the software: in a request that is passed on, the one at which the stream
	// must go on; in a response to it, the one that runs it. headerService names the service.
	headerBuild   = "Tanager-Build"
	headerService = "Tanager-Service"
)

// streamOrigin is the service and the version of the software that wrote the first event of a stream, as an instance
// knows it.
type streamOrigin struct {
	// Known is set if the stream can only have begun at the service and the version.
	Known bool
	// Recorded is set if the stream itself is known, and not concluded from the list.
	Recorded bool
	Service  ident.Service
	Build    ident.Build
}

// recordedOrigin returns the origin of a stream if this instance has a record of it.
func (s *state) recordedOrigin(attempt resume.Attempt) streamOrigin {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream, ok := s.streams.Find(s.clock.Now(), attempt)
	return streamOrigin{Known: ok, Recorded: ok, Service: stream.Service, Build: stream.Build}
}

// concludedOrigin returns the origin of a stream that began before a time, if the list shows that only one version can
// have begun it.
func (s *state) concludedOrigin(service ident.Service, before clock.Time) streamOrigin {
	s.mu.Lock()
	defer s.mu.Unlock()
	build, known := s.pool.OnlyBuild(s.clock.Now(), before, service)
	return streamOrigin{Known: known, Service: service, Build: build}
}

// beginStream records the origin of a stream.
func (s *state) beginStream(stream resume.Stream, homes []ident.Region) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams.Begin(s.clock.Now(), stream, homes)
}

// takeUnshared returns the streams that other instances must know: those of services of which several versions
// may be in use.
func (s *state) takeUnshared() []resume.Begun {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	must := make(map[ident.Service]bool)
	return s.streams.TakeUnshared(now, func(service ident.Service) bool {
		if _, ok := must[service]; !ok {
			_, only := s.pool.OnlyBuild(now, anyListAge, service)
			must[service] = !only
		}
		return must[service]
	})
}

// regionInstances are the instances of one region that may keep the origins of streams.
type regionInstances struct {
	names   []ident.Entry
	records map[ident.Entry]mesh.Record
}

// instancesByRegion returns the instances that are ready, including this one.
func (s *Server) instancesByRegion() map[ident.Region]*regionInstances {
	regions := make(map[ident.Region]*regionInstances)
	for _, record := range append(s.node.Alive(), mesh.Record{Name: s.settings.Name, Region: s.settings.Region}) {
		instances := regions[record.Region]
		if instances == nil {
			instances = &regionInstances{records: make(map[ident.Entry]mesh.Record)}
			regions[record.Region] = instances
		}
		instances.names = append(instances.names, record.Name)
		instances.records[record.Name] = record
	}
	return regions
}

// ownersOf returns the instances that keep the origin of a stream, one in each region that may learn of it; this
// instance may be among them.
func ownersOf(regions map[ident.Region]*regionInstances, attempt resume.Attempt, homes []ident.Region) (owners []mesh.Record) {
	for region, instances := range regions {
		if len(homes) == 0 || slices.Contains(homes, region) {
			owners = append(owners, instances.records[watch.Rendezvous(string(attempt), instances.names, 1)[0]])
		}
	}
	return owners
}

// shareStreams tells the owners of the streams that began here their origins.
func (s *Server) shareStreams(context.Context) {
	unshared := s.state.takeUnshared()
	if len(unshared) == 0 {
		return
	}
	regions, byOwner := s.instancesByRegion(), make(map[mesh.Record][]resume.Stream)
	for _, u := range unshared {
		for _, owner := range ownersOf(regions, u.Attempt, u.Homes) {
			if owner.Name != s.settings.Name {
				byOwner[owner] = append(byOwner[owner], u.Stream)
			}
		}
	}
	for owner, streams := range byOwner {
		for chunk := range slices.Chunk(streams, maxSharedStreams) {
			s.node.ShareStreams(owner, chunk)
		}
	}
}

// serveStreamOrigin answers another instance that asks for the origin of a stream.
func (s *Server) serveStreamOrigin(w http.ResponseWriter, r *http.Request) {
	path, recordOnly := strings.CutSuffix(strings.TrimPrefix(r.RequestURI, streamPath), onlyRecord)
	service, attempt, _ := strings.Cut(path, "/")
	service, serviceErr := url.PathUnescape(service)
	attempt, attemptErr := url.PathUnescape(attempt)
	if serviceErr != nil || attemptErr != nil || !s.state.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	origin := s.state.recordedOrigin(resume.Attempt(attempt))
	if !origin.Known && !recordOnly {
		origin = s.concludeOrigin(r.Context(), ident.Service(service), s.clock.Now())
	}
	data, err := codec.Encode(origin)
	if err != nil {
		s.log.Error("encoding response to another instance failed", zap.Error(err))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data) // an error only means that the instance has disconnected
}

// originURI returns the URI at which another instance tells the origin of a stream.
func originURI(service ident.Service, attempt resume.Attempt) string {
	return streamPath + url.PathEscape(string(service)) + "/" + url.PathEscape(string(attempt))
}

// askOrigin asks another instance for the origin of a stream at a URI, and sends the answer to a channel, which has
// room for it.
func (s *Server) askOrigin(ctx context.Context, owner mesh.Record, uri string, answers chan<- streamOrigin) {
	var origin streamOrigin
	defer func() { answers <- origin }()
	s.contain("stream origin", func() {
		data, err := s.queryInstance(ctx, owner.Hop, uri, maxOriginBytes)
		if err == nil {
			err = codec.Decode(data, &origin)
		}
		if err != nil {
			origin = streamOrigin{}
			s.log.Info("asking another instance for a stream failed", zap.String("of", string(owner.Name)), zap.Error(err))
		}
	})
}

// concludeOrigin returns the origin of a stream that began before a time, if only one version can have begun it. That
// version was listed before, so that a list that is read afterwards proves it; an older one may lack the version.
func (s *Server) concludeOrigin(ctx context.Context, service ident.Service, before clock.Time) streamOrigin {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout.Duration())
	defer cancel()
	if !s.state.concludedOrigin(service, anyListAge).Known || !s.refreshList(ctx, before) {
		return streamOrigin{}
	}
	return s.state.concludedOrigin(service, before)
}

// findOrigin returns the origin of a stream that began before a time. A record of this instance or of the owner in
// this region comes before a conclusion. What these can't tell, the other owners are asked.
func (s *Server) findOrigin(ctx context.Context, service ident.Service, attempt resume.Attempt, homes []ident.Region, before clock.Time) streamOrigin {
	if origin := s.state.recordedOrigin(attempt); origin.Known {
		return origin
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout.Duration())
	defer cancel()
	uri := originURI(service, attempt)
	owners := slices.DeleteFunc(ownersOf(s.instancesByRegion(), attempt, homes), func(r mesh.Record) bool { return r.Name == s.settings.Name })
	near := slices.IndexFunc(owners, func(r mesh.Record) bool { return r.Region == s.settings.Region })
	recorded := make(chan streamOrigin, 1)
	if near >= 0 {
		recordCtx, cancelRecord := context.WithTimeout(ctx, refreshTimeout.Duration())
		defer cancelRecord()
		go s.askOrigin(recordCtx, owners[near], uri+onlyRecord, recorded)
	} else {
		recorded <- streamOrigin{}
	}
	concluded := s.concludeOrigin(ctx, service, before)
	if origin := <-recorded; origin.Known {
		return origin
	}
	if concluded.Known {
		return concluded
	}
	answers := make(chan streamOrigin, len(owners))
	for _, owner := range owners {
		go s.askOrigin(ctx, owner, uri, answers)
	}
	for range owners {
		if origin := <-answers; origin.Known {
			return origin
		}
	}
	return streamOrigin{}
}

// isResumption reports whether the caller resumes a stream of which it has some events.
func (f *inflight) isResumption() bool { return f.route.Stream && f.meta.LastEventID != "" }

// resolveOrigin binds a stream that the caller resumes to the service and the version that began it. If nobody
// can tell them, it refuses the request and returns false: its events could be of another version.
func (f *inflight) resolveOrigin(ctx context.Context) bool {
	if !f.isResumption() || f.placement.Build != "" {
		return true
	}
	origin := f.server.findOrigin(ctx, f.placement.Service, f.meta.FirstAttempt, f.route.HomeRegions, f.arrived)
	if !origin.Known || !f.route.MayUse(origin.Service) {
		f.server.metrics.unknownStreams.Inc(1)
		f.refuse("stream origin unknown", unknownRetryAfter)
		return false
	}
	f.setService(origin.Service)
	f.placement.Build = origin.Build
	return true
}

// bindHopped binds a request of another instance to the service and the version that it names.
func (f *inflight) bindHopped(header http.Header) {
	service, build := ident.Service(header.Get(headerService)), ident.Build(header.Get(headerBuild))
	if build == "" || !f.route.MayUse(service) {
		return
	}
	f.setService(service)
	f.placement.Build = build
}

// buildOf returns the version of the software that runs a send, or "" if another instance doesn't name it.
func (a *attempt) buildOf(response *relay.EndpointResponse) ident.Build {
	if a.send != nil {
		return a.send.Build()
	}
	return ident.Build(response.Header.Get(headerBuild))
}

// beginStream binds the stream to the version whose first event is about to be forwarded.
func (a *attempt) beginStream(response *relay.EndpointResponse) {
	f := a.inflight
	f.placement.Build = a.buildOf(response)
	if f.hopped() {
		return // the instance that passed the request on records it
	}
	stream := resume.Stream{Attempt: resume.Attempt(f.meta.AttemptID), Service: f.placement.Service, Build: f.placement.Build}
	if f.isResumption() {
		stream.Attempt = f.meta.FirstAttempt
	}
	f.server.state.beginStream(stream, f.route.HomeRegions)
}

// lacksBuild reports whether no endpoint that could serve the request is of the version at which its stream must
// go on.
func (f *inflight) lacksBuild() (lacks bool) {
	f.server.state.withPool(func(p *pool.Pool, _ clock.Time) { lacks = !p.ServesBuild(f.placement, f.route.Allows) })
	return lacks
}
