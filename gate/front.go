package gate

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/pool"
)

const (
	// bodyPart is the part of the process's memory that requests' bodies may take, and
	// defaultBodies the bound in bytes if the settings name no memory.
	bodyPart      = 4
	defaultBodies = 256 << 20
	// maxRejected is how much of a body that can't be taken is read, in bytes.
	maxRejected = 8 << 20
	// crowdedAfter is when a caller is asked to come back to an instance without memory.
	crowdedAfter = 500 * clock.Millisecond
)

// unreadyAfter is when a caller is asked to come back after an instance without a table or
// one that leaves has refused its request.
const unreadyAfter = 300 * clock.Millisecond

// front serves callers.
func (s *Server) front(w http.ResponseWriter, r *http.Request) { s.handle(w, r, false) }

// hop serves requests that another instance passes on.
func (s *Server) hop(w http.ResponseWriter, r *http.Request) {
	s.handle(w, r, r.Header.Get(headerHop) != "")
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request, hopped bool) {
	s.metrics.active.Inc(1)
	defer s.metrics.active.Dec(1)
	arrived := s.clock.Now()
	table := s.state.table.Load()
	switch {
	case table == nil || !s.state.ready():
		s.unready(w, r, "no configuration yet")
		return
	case s.refusing.Load():
		s.unready(w, r, "leaving")
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := table.Match(r.Host, path)
	if route == nil {
		s.log.Info("no route", zap.String("host", r.Host), zap.String("path", path), zap.Uint64("version", uint64(table.Version)))
		respond(w, http.StatusNotFound, caller.RanNo, caller.ReasonService, "no route for this host and path", "")
		return
	}
	f := s.newFlight(w, r, table, route, arrived)
	f.hopped = hopped
	defer f.release()
	if !f.readBody(table.Bounds.BodyBytes) {
		return
	}
	f.print = fingerprint(r.Host, r.RequestURI, f.body)
	ctx, cancel := context.WithTimeout(r.Context(), f.left().Duration())
	defer cancel()
	f.run(ctx)
}

// unready refuses a request that this instance can't take now.
func (s *Server) unready(w http.ResponseWriter, r *http.Request, reason string) {
	attempt := s.dialect.Head(r.Header).Attempt
	s.dialect.Later(w.Header(), unreadyAfter)
	s.closing(w.Header())
	respond(w, http.StatusServiceUnavailable, caller.RanNo, caller.ReasonUnready, reason, attempt)
	s.log.Info("request", zap.String("request", attempt), zap.String("outcome", "refused"),
		zap.Int("status", http.StatusServiceUnavailable), zap.String("last", reason))
}

func (s *Server) newFlight(w http.ResponseWriter, r *http.Request, t *bundle.Table, route *bundle.Route, arrived clock.Time) *flight {
	head := s.dialect.Head(r.Header)
	header := forwarded(r.Header)
	delete(header, headerHop)
	s.dialect.Strip(header)
	limit := route.Timeout
	if head.Bounded {
		limit = min(limit, head.Left)
	}
	service := route.Spread(s.fraction())
	backend := t.Backends[service]
	return &flight{
		s: s, writer: w, request: r, table: t, route: route, head: head, header: header,
		arrived: arrived, deadline: arrived.Add(limit), lastEvent: head.LastEvent,
		ask: pool.Ask{
			Service: service, Engine: backend.Engine, Memory: backend.Memory, ColdRate: backend.ColdRate, Connections: backend.Connections,
			Parts: head.Parts, Prompt: head.Prompt, Output: head.Output, Priority: route.Priority, Target: route.Target, Homes: route.Homes,
		},
	}
}

// readBody reads the request's body and answers itself if that is not possible.
func (f *flight) readBody(limit int64) bool {
	if f.request.ContentLength == 0 {
		return true
	}
	if limit <= 0 {
		limit = maxAnswerBytes
	}
	size := max(f.request.ContentLength, 0)
	if size > limit {
		f.reject(http.StatusRequestEntityTooLarge, "body is too large")
		return false
	}
	if !f.reserve(size) {
		return false
	}
	var body bytes.Buffer
	body.Grow(int(size) + bytes.MinRead)
	if _, err := body.ReadFrom(io.LimitReader(f.request.Body, limit+1)); err != nil {
		f.reject(http.StatusBadRequest, "body can't be read")
		return false
	}
	if int64(body.Len()) > limit {
		f.reject(http.StatusRequestEntityTooLarge, "body is too large")
		return false
	}
	f.body = body.Bytes()
	return f.reserve(int64(body.Len()) - size)
}

// reserve books memory for the body, or refuses the request if there is none. release gives
// it back.
func (f *flight) reserve(size int64) bool {
	f.reserved += size
	limit := int64(f.s.settings.Memory) / bodyPart
	if limit == 0 {
		limit = defaultBodies
	}
	if f.s.bodies.Add(size) <= limit || size <= 0 {
		return true
	}
	// An answer before the end of the body would be lost with the connection.
	if _, err := io.Copy(io.Discard, f.request.Body); err != nil {
		f.done("left", 0)
		return false
	}
	f.refuse("no memory for the body", crowdedAfter)
	return false
}

func (f *flight) release() { f.s.bodies.Add(-f.reserved) }

func (f *flight) reject(status int, reason string) {
	// An answer before the end of the body would be lost with the connection. A body far
	// above the limit is not read to its end.
	_, _ = io.CopyN(io.Discard, f.request.Body, maxRejected)
	f.writer.Header().Set("Connection", "close")
	respond(f.writer, status, caller.RanNo, caller.ReasonMalformed, reason, f.head.Attempt)
	f.done("rejected", status)
}
