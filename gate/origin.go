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
	"github.com/tanagerbridge/tanagerbridge/pool"
	"github.com/tanagerbridge/tanagerbridge/relay"
	"github.com/tanagerbridge/tanagerbridge/resume"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

const (
	// streamPath is the path at which other instances ask what began a stream: streamPath + service / attempt.
	streamPath = "/tanager/stream/"
	// shareInterval is the interval at which the streams that began are shared, and maxSharedStreams bounds
	// those in one datagram.
	shareInterval    = 100 * clock.Millisecond
	maxSharedStreams = 64
	// originTimeout bounds the questions to other instances about one stream, and maxOriginBytes an answer.
	originTimeout  = 400 * clock.Millisecond
	maxOriginBytes = 1 << 10
	// unknownRetryAfter is when a caller is asked to come again if nobody knows what began its stream.
	unknownRetryAfter = 500 * clock.Millisecond
	// headerBuild names the version of the software: in a request that is passed on, the one at which the stream
	// must go on; in a response to it, the one that runs it. headerService names the service.
	headerBuild   = "Tanager-Build"
	headerService = "Tanager-Service"
)

// streamOrigin is an instance's answer about a stream.
type streamOrigin struct {
	// Known is set if the stream can only have begun at the service and the version.
	Known bool
	// Recorded is set if the stream itself is known. A conclusion from the list may be as old as that.
	Recorded bool
	Service  ident.Service
	Build    ident.Build
}

// originOf returns what began a stream, as far as this instance knows: the stream itself, or that only one version
// can have begun any stream of the service.
func (s *state) originOf(service ident.Service, attempt resume.Attempt) streamOrigin {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if stream, ok := s.streams.Find(now, attempt); ok {
		return streamOrigin{Known: true, Recorded: true, Service: stream.Service, Build: stream.Build}
	}
	build, known := s.pool.OnlyBuild(now, service)
	return streamOrigin{Known: known, Service: service, Build: build}
}

// beginStream records what began a stream.
func (s *state) beginStream(stream resume.Stream, homes []ident.Region) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams.Begin(s.clock.Now(), stream, homes)
}

// takeUnshared returns the streams that other instances must know: those of services of which several versions
// may be in use.
func (s *state) takeUnshared() []resume.Unshared {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	must := make(map[ident.Service]bool)
	return s.streams.TakeUnshared(now, func(service ident.Service) bool {
		if _, ok := must[service]; !ok {
			_, only := s.pool.OnlyBuild(now, service)
			must[service] = !only
		}
		return must[service]
	})
}

// regionInstances are the instances of one region that may keep what began streams.
type regionInstances struct {
	region    ident.Region
	names     []ident.Entry
	addresses map[ident.Entry]string
}

// instancesByRegion returns the instances that are ready, including this one, whose region comes first.
func (s *Server) instancesByRegion() []regionInstances {
	regions := []regionInstances{{s.settings.Region, []ident.Entry{s.settings.Name}, make(map[ident.Entry]string)}}
	for _, peer := range s.node.Alive() {
		index := slices.IndexFunc(regions, func(r regionInstances) bool { return r.region == peer.Region })
		if index < 0 {
			index = len(regions)
			regions = append(regions, regionInstances{region: peer.Region, addresses: make(map[ident.Entry]string)})
		}
		regions[index].names = append(regions[index].names, peer.Name)
		regions[index].addresses[peer.Name] = peer.Hop
	}
	return regions
}

// owner is an instance that keeps what began a stream.
type owner struct {
	name    ident.Entry
	region  ident.Region
	address string
}

// ownersOf returns the instances that keep what began a stream, one in each region that may learn of it, in the order
// of the regions; this instance may be among them.
func ownersOf(regions []regionInstances, attempt resume.Attempt, homes []ident.Region) (owners []owner) {
	for _, r := range regions {
		if len(homes) > 0 && !slices.Contains(homes, r.region) {
			continue
		}
		name := watch.Rendezvous(string(attempt), r.names, 1)[0]
		owners = append(owners, owner{name, r.region, r.addresses[name]})
	}
	return owners
}

// shareStreams tells the owners of the streams that began here what began them.
func (s *Server) shareStreams(context.Context) {
	unshared := s.state.takeUnshared()
	if len(unshared) == 0 {
		return
	}
	regions, byOwner := s.instancesByRegion(), make(map[ident.Entry][]resume.Stream)
	for _, u := range unshared {
		for _, o := range ownersOf(regions, u.Attempt, u.Homes) {
			if o.name != s.settings.Name {
				byOwner[o.name] = append(byOwner[o.name], u.Stream)
			}
		}
	}
	for name, streams := range byOwner {
		for chunk := range slices.Chunk(streams, maxSharedStreams) {
			s.node.ShareStreams(name, chunk)
		}
	}
}

// serveStreamOrigin answers another instance that asks what began a stream.
func (s *Server) serveStreamOrigin(w http.ResponseWriter, r *http.Request) {
	service, attempt, _ := strings.Cut(strings.TrimPrefix(r.RequestURI, streamPath), "/")
	service, serviceErr := url.PathUnescape(service)
	attempt, attemptErr := url.PathUnescape(attempt)
	if serviceErr != nil || attemptErr != nil || !s.state.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	data, err := codec.Encode(s.state.originOf(ident.Service(service), resume.Attempt(attempt)))
	if err != nil {
		s.log.Error("encoding response to another instance failed", zap.Error(err))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data) // an error only means that the instance has disconnected
}

// askOrigin asks another instance what began a stream.
func (s *Server) askOrigin(ctx context.Context, asked owner, service ident.Service, attempt resume.Attempt) (origin streamOrigin) {
	uri := streamPath + url.PathEscape(string(service)) + "/" + url.PathEscape(string(attempt))
	data, err := s.queryInstance(ctx, asked.address, uri, maxOriginBytes)
	if err == nil {
		err = codec.Decode(data, &origin)
	}
	if err != nil {
		s.log.Info("asking another instance for a stream failed", zap.String("of", string(asked.name)), zap.Error(err))
		return streamOrigin{}
	}
	return origin
}

// findOrigin returns what began a stream. A record of this instance or of the owner in this region comes before what
// either concludes from the list, and that before the answers of the other owners.
func (s *Server) findOrigin(ctx context.Context, service ident.Service, attempt resume.Attempt, homes []ident.Region) streamOrigin {
	best := s.state.originOf(service, attempt)
	if best.Recorded {
		return best
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout.Duration())
	defer cancel()
	var others []owner
	for _, o := range ownersOf(s.instancesByRegion(), attempt, homes) {
		switch {
		case o.name == s.settings.Name:
		case o.region == s.settings.Region:
			if origin := s.askOrigin(ctx, o, service, attempt); origin.Recorded || !best.Known {
				best = origin
			}
		default:
			others = append(others, o)
		}
	}
	if best.Known {
		return best
	}
	answers := make(chan streamOrigin, len(others))
	for _, o := range others {
		go func() {
			var origin streamOrigin
			defer func() { answers <- origin }()
			s.contain("stream origin", func() { origin = s.askOrigin(ctx, o, service, attempt) })
		}()
	}
	for range others {
		if origin := <-answers; origin.Known {
			return origin
		}
	}
	return streamOrigin{}
}

// isTakeUp reports whether the caller goes on with a stream of which it has some events.
func (f *inflight) isTakeUp() bool { return f.route.Stream && f.meta.LastEventID != "" }

// resolveOrigin binds a stream that the caller takes up to the service and the version that began it. If nobody
// can tell them, it refuses the request and returns false: its events could be of another version.
func (f *inflight) resolveOrigin(ctx context.Context) bool {
	if !f.isTakeUp() || f.placement.Build != "" {
		return true
	}
	origin := f.server.findOrigin(ctx, f.placement.Service, f.meta.FirstAttempt, f.route.HomeRegions)
	if !origin.Known || !f.route.MayUse(origin.Service) {
		f.server.metrics.unknownStreams.Inc(1)
		f.refuse("unknown what began the stream", unknownRetryAfter)
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
	if f.hopped {
		return // the instance that passed the request on records it
	}
	stream := resume.Stream{Attempt: resume.Attempt(f.meta.AttemptID), Service: f.placement.Service, Build: f.placement.Build}
	if f.isTakeUp() {
		stream.Attempt = f.meta.FirstAttempt
	}
	f.server.state.beginStream(stream, f.route.HomeRegions)
}

// lacksBuild reports whether no endpoint that could serve the request is of the version at which its stream must
// go on.
func (f *inflight) lacksBuild() (lacks bool) {
	f.server.state.withPool(func(p *pool.Pool, _ clock.Time) { lacks = !p.ServesBuildAnywhere(f.placement) })
	return lacks
}
