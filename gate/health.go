package gate

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/logs"
	"github.com/tanagerbridge/tanagerbridge/pool"
	"github.com/tanagerbridge/tanagerbridge/relay"
)

const (
	// healthCheckTimeout bounds a health check.
	healthCheckTimeout = 600 * clock.Millisecond
	// connectTimeout bounds the time to the new connection of a health check.
	connectTimeout = 300 * clock.Millisecond
	// newConnection is the idle time of a connection that is reused for a health check: none is, since connections may
	// live on while new ones are refused.
	newConnection time.Duration = -1
	// maxHealthBodyBytes bounds the response body of a health check.
	maxHealthBodyBytes = 64 << 10
)

// watchZones lets the endpoints of a zone be checked that has just lost all of its instances: what
// took them may have taken the endpoints too.
func (s *Server) watchZones(context.Context) {
	lost := s.node.LostZones()
	for _, zone := range lost {
		if !slices.Contains(s.lostZones, zone) {
			s.log.Warn("zone lost", zap.String("zone", string(zone)))
			s.state.withPool(func(p *pool.Pool, now clock.Time) { p.SuspectZone(now, zone) })
		}
	}
	s.lostZones = lost
}

// startHealthChecks starts the health checks that are due.
func (s *Server) startHealthChecks(ctx context.Context) {
	var due, links []pool.Info
	var ended []pool.Process
	s.state.withPool(func(p *pool.Pool, now clock.Time) {
		due, links, ended = p.DueChecks(now), p.DueLinkChecks(now), p.EndedPauses(now)
	})
	for _, process := range ended {
		s.log.Info("pause of endpoint ended", zap.String("endpoint", string(process.ID)), zap.Int64("incarnation", process.Incarnation))
	}
	for _, i := range due {
		go s.checkEndpoint(ctx, i, s.state.healthPath(i.Service))
	}
	for _, i := range links {
		go s.checkEndpoint(ctx, i, "")
	}
}

// healthPath returns the path of the health checks of a service, or "" if it has none.
func (s *state) healthPath(service ident.Service) string {
	if table := s.table.Load(); table != nil {
		return table.Backends[service].Health
	}
	return ""
}

// checkEndpoint makes a health check, or without a path only checks the link, and records the result.
func (s *Server) checkEndpoint(ctx context.Context, info pool.Info, path string) {
	defer logs.RecoverPanic(s.log, "health check", s.countPanic)
	check, err := s.requestCheck(ctx, info, path)
	if fault.KindOf[relay.Kind](err) == relay.KindWithheld {
		s.state.withPool(func(p *pool.Pool, now clock.Time) { p.RecordConnected(now, info.ID) })
		return
	}
	s.state.withPool(func(p *pool.Pool, now clock.Time) { p.RecordCheck(now, info.ID, check) })
	if err != nil {
		s.log.Debug("health check failed", zap.String("endpoint", string(info.ID)), zap.Error(err))
		if isRefused(err) {
			s.confirmCrash(ctx, info)
		}
		return
	}
	if check.SameEndpoint {
		s.state.recordAnswering(info.ID)
	}
	s.log.Info("health checked", zap.String("endpoint", string(info.ID)), zap.Bool("healthy", check.Healthy),
		zap.Bool("same", check.SameEndpoint), zap.Int64("cold", int64(check.ColdRemaining)))
}

// checkHealth makes a health check whose result only the caller uses. Errors have a kind of package relay, or
// KindNoHealthCheck if the service of the endpoint has none.
func (s *Server) checkHealth(ctx context.Context, info pool.Info) (pool.Check, error) {
	path := s.state.healthPath(info.Service)
	if path == "" {
		return pool.Check{}, fault.New("check", KindNoHealthCheck)
	}
	return s.requestCheck(ctx, info, path)
}

// requestCheck checks an endpoint and records what it says about itself.
func (s *Server) requestCheck(ctx context.Context, info pool.Info, path string) (pool.Check, error) {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout.Duration())
	defer cancel()
	asked := s.clock.Now()
	check, meta, err := s.requestHealth(ctx, info.Address, path, info.ID)
	if check.SameEndpoint {
		s.state.recordStatement(info.Process(), meta, asked, zap.Bool("check", true))
	}
	return check, err
}

// notChecked reports whether no health check was made because there is none or the endpoint must be left alone.
func notChecked(err error) bool {
	return fault.KindOf[relay.Kind](err) == relay.KindWithheld || fault.KindOf[Kind](err) == KindNoHealthCheck
}

// isRefused reports whether a connection was refused at once, as that of a process that has ended is. One that could
// not be established in time says nothing.
func isRefused(err error) bool {
	var failure net.Error
	if errors.As(err, &failure) && failure.Timeout() {
		return false
	}
	return fault.KindOf[relay.Kind](err) == relay.KindUnsent && !errors.Is(err, context.Canceled)
}

// matchHealthResponse tells whether a response answers a health check, which has no attempt id.
func (s *Server) matchHealthResponse(header http.Header) relay.Match {
	if s.protocol.ResponseMeta(http.StatusOK, header).AttemptID != "" {
		return relay.MatchOther
	}
	return relay.MatchOwn
}

// requestHealth checks an endpoint. Without a path, only a connection is made.
func (s *Server) requestHealth(ctx context.Context, address, path string, id ident.Endpoint) (check pool.Check, meta ResponseMeta, err error) {
	connected, sent := false, false
	proceed := func(relay.Connection) bool {
		connected = true
		s.state.withPool(func(p *pool.Pool, now clock.Time) { sent = path != "" && p.MayCheck(now, id) })
		return sent
	}
	defer func() {
		if sent {
			s.state.withPool(func(p *pool.Pool, now clock.Time) { p.EndCheck(now, id, err == nil, meta.NotRun && !meta.Moved) })
		}
	}()
	response, err := s.state.relay(address).Do(ctx, &relay.Request{
		Method: http.MethodGet, URI: path, Host: address, Header: http.Header{}, Match: s.matchHealthResponse, Proceed: proceed,
		ConnectTimeout: connectTimeout.Duration(),
	}, newConnection)
	if err != nil {
		kind := fault.KindOf[relay.Kind](err)
		broken := ctx.Err() == nil && (kind == relay.KindBroken || kind == relay.KindUnsent)
		return pool.Check{Connected: connected && !broken}, ResponseMeta{}, err
	}
	defer response.Close()
	if _, err := response.ReadAll(maxHealthBodyBytes); err != nil {
		return pool.Check{Connected: ctx.Err() != nil}, ResponseMeta{}, err
	}
	meta = s.protocol.ResponseMeta(response.StatusCode, response.Header)
	return pool.Check{
		Healthy: response.StatusCode == http.StatusOK, SameEndpoint: meta.Endpoint == id, ColdRemaining: meta.ColdRemaining, Connected: true,
	}, meta, nil
}
