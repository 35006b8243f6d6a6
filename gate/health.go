package gate

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/pool"
	"github.com/tanagerbridge/tanagerbridge/relay"
)

const (
	// checkTimeout bounds a health check.
	checkTimeout = 600 * clock.Millisecond
	// maxCheckBody bounds the body of a health check in bytes.
	maxCheckBody = 64 << 10
)

// check sends the health checks that are due.
func (s *Server) check(ctx context.Context) {
	var due []pool.Info
	s.state.locked(func(p *pool.Pool, now clock.Time) { due = p.Due(now) })
	for _, i := range due {
		go s.checkOne(ctx, i)
	}
}

func (s *Server) checkOne(ctx context.Context, i pool.Info) {
	table := s.state.table.Load()
	if table == nil {
		return
	}
	backend, ok := table.Backends[i.Service]
	if !ok || backend.Health == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout.Duration())
	defer cancel()
	c, err := s.health(ctx, i.Address, backend.Health, i.ID)
	if err != nil {
		if fault.KindOf[relay.Kind](err) == relay.Unsent && ctx.Err() == nil {
			s.state.unreachable(i.ID)
		}
		s.log.Debug("health check failed", zap.String("endpoint", string(i.ID)), zap.Error(err))
		return
	}
	if c.Same {
		s.state.survived(i.ID)
	}
	s.state.locked(func(p *pool.Pool, now clock.Time) { p.Checked(now, i.ID, c) })
	s.log.Info("health checked", zap.String("endpoint", string(i.ID)), zap.Bool("healthy", c.Healthy),
		zap.Bool("same", c.Same), zap.Int64("cold", int64(c.Cold)))
}

func (s *Server) health(ctx context.Context, address, path string, id ident.Endpoint) (pool.Check, error) {
	r, err := s.state.relay(address).Do(ctx, &relay.Request{
		Method: http.MethodGet, URI: path, Host: address, Header: http.Header{},
	}, repeatIdle)
	if err != nil {
		return pool.Check{}, err
	}
	defer r.Close()
	if _, err := r.ReadAll(maxCheckBody); err != nil {
		return pool.Check{}, err
	}
	a := s.dialect.Answer(r.StatusCode, r.Header)
	return pool.Check{Healthy: r.StatusCode == http.StatusOK, Same: a.Endpoint == id, Cold: a.Cold}, nil
}
