package gate

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/logs"
	"github.com/tanagerbridge/tanagerbridge/memory"
	"github.com/tanagerbridge/tanagerbridge/pool"
)

const (
	// maxDiscardBytes bounds how much of a rejected body is read.
	maxDiscardBytes = 8 << 20
	// firstStepBytes and bodyStepBytes are the sizes of the first and of the further reservations for a body whose length
	// is not known: most such bodies are short.
	firstStepBytes = 4 << 10
	bodyStepBytes  = 64 << 10
	// transferMargin is how long after the end of its time limit a request may still be read and its
	// response be written.
	transferMargin = 1 * clock.Second
	// refusalTransfer is the same for a request that is refused at once.
	refusalTransfer = 5 * clock.Second
	// memoryRetryAfter is when a caller is asked to retry if the instance lacks memory for the
	// body.
	memoryRetryAfter = 500 * clock.Millisecond
)

// unreadyRetryAfter is when a caller is asked to retry after it was refused by an instance that
// has no routing table or is leaving.
const unreadyRetryAfter = 300 * clock.Millisecond

// serveCaller handles the requests of callers.
func (s *Server) serveCaller(w http.ResponseWriter, r *http.Request) { s.handle(w, r, "") }

// serveHop handles requests that another instance passes on.
func (s *Server) serveHop(w http.ResponseWriter, r *http.Request) {
	id := sendID(r.Header.Get(headerHop))
	if id == "" {
		s.handle(w, r, "")
		return
	}
	s.protocol.CopyAttemptID(w.Header(), r.Header)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	end, ok := s.hopRequests.begin(id, cancel)
	if !ok {
		s.log.Info("cancelled send refused", zap.String("request", s.protocol.RequestMeta(r.Header).AttemptID), zap.String("of", string(id)))
		s.refuseUnready(w, r, "cancelled")
		return
	}
	defer end()
	s.handle(w, r.WithContext(ctx), id)
}

// handle handles a request of a caller, or one that another instance passes on by a send.
func (s *Server) handle(w http.ResponseWriter, r *http.Request, hopSend sendID) {
	s.metrics.active.Inc(1)
	defer s.metrics.active.Dec(1)
	defer s.containEarlyPanic(w)
	arrived := s.clock.Now()
	s.boundTransfer(w, r, refusalTransfer)
	if endsAfterAnswer(r) {
		s.metrics.pipelinesEnded.Inc(1)
		w.Header().Set("Connection", "close")
	}
	proven := s.state.lease.held(arrived)
	table := s.state.table.Load() // after the lease, which then holds for this table
	switch {
	case table == nil || !s.state.ready():
		s.refuseUnready(w, r, "no configuration yet")
		return
	case s.refusing.Load():
		s.refuseUnready(w, r, "leaving")
		return
	}
	route := s.matchRoute(w, r, table)
	if route == nil {
		return
	}
	request := s.newInflight(w, r, table, route, arrived, hopSend)
	defer request.containPanic()
	if !request.identify(proven) {
		return
	}
	if request.hopped() {
		request.bindHopped(r.Header)
	}
	request.estimateElapsed()
	if !request.admit() {
		return
	}
	s.boundTransfer(w, r, request.remaining())
	if !request.readBody(table.Bounds.BodyBytes) || !request.beginRunning() {
		return
	}
	request.fingerprint = fingerprint(r.Host, r.RequestURI, request.body)
	ctx, cancel := context.WithTimeout(r.Context(), request.remaining().Duration())
	defer cancel()
	defer context.AfterFunc(s.ending, cancel)()
	if request.resolveOrigin(ctx) {
		request.run(ctx)
	}
}

// matchRoute returns the route of a request. If there is none, it sends the response and returns nil.
func (s *Server) matchRoute(w http.ResponseWriter, r *http.Request, table *bundle.Table) *bundle.Route {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := table.Match(r.Host, path)
	if route == nil {
		s.log.Info("no route", zap.String("host", r.Host), zap.String("path", path), zap.Uint64("version", uint64(table.Version)))
		s.setConnectionClose(w.Header())
		writeError(w, http.StatusNotFound, caller.RanNo, caller.ReasonService, "no route for this host and path", "")
	}
	return route
}

// admit reports whether the request is accepted before its body is read. If not, it has sent the response.
func (f *inflight) admit() bool {
	if f.server.refuses(f) {
		f.server.refuseUnready(f.writer, f.request, "leaving")
		return false
	}
	return f.admitQuota() && f.admitFairly()
}

// containEarlyPanic ends a panic before the request was accepted. The caller gets the same response as
// from containPanic.
func (s *Server) containEarlyPanic(w http.ResponseWriter) {
	cause := recover()
	if cause == nil {
		return
	}
	s.reportPanic(cause)
	s.setConnectionClose(w.Header())
	writeError(w, http.StatusBadGateway, caller.RanUnknown, caller.ReasonEndpoint, "internal error", "")
}

// reportPanic counts and logs a panic of a handler. One that aborts the response goes on.
func (s *Server) reportPanic(cause any, fields ...zap.Field) {
	if cause == http.ErrAbortHandler { //nolint:errorlint // net/http compares the value too
		panic(cause)
	}
	s.countPanic()
	logs.ReportPanic(s.log, cause, fields...)
}

// containPanic ends a panic while the request was processed. Since the request may have run, the
// caller is told that its outcome is unknown.
func (f *inflight) containPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	f.server.reportPanic(cause, zap.String("request", f.meta.AttemptID))
	f.fail(http.StatusBadGateway, "internal error")
}

// boundTransfer limits the time for reading the request's body and writing the response, so that a
// caller that sends or reads slowly holds nothing for longer than its request may take. Each request
// sets it anew, since the limits stay on the connection. Without a body nothing is left to read: net/http
// reads beside the handler, and a deadline of that read would end the request's context.
func (s *Server) boundTransfer(w http.ResponseWriter, r *http.Request, limit clock.Span) {
	if r.ContentLength != 0 {
		s.setReadDeadline(w, time.Now().Add((limit + transferMargin).Duration()))
	}
	s.boundWrite(w, limit)
}

func (s *Server) setReadDeadline(w http.ResponseWriter, end time.Time) {
	if err := http.NewResponseController(w).SetReadDeadline(end); err != nil {
		s.log.Debug("setting the caller's deadline failed", zap.Error(err))
	}
}

// boundWrite limits the time for writing the response.
func (s *Server) boundWrite(w http.ResponseWriter, limit clock.Span) {
	end := time.Now().Add((limit + transferMargin).Duration())
	if err := http.NewResponseController(w).SetWriteDeadline(end); err != nil {
		s.log.Debug("setting the caller's deadline failed", zap.Error(err))
	}
}

// renewWrite allows time for a complete response, also if the process was held up beyond the limit.
func (f *inflight) renewWrite() { f.server.boundWrite(f.writer, max(0, f.remaining())) }

// refuseUnready refuses a request that this instance cannot accept now.
func (s *Server) refuseUnready(w http.ResponseWriter, r *http.Request, reason string) {
	attempt := s.protocol.RequestMeta(r.Header).AttemptID
	s.protocol.SetRetryAfter(w.Header(), unreadyRetryAfter)
	s.setConnectionClose(w.Header())
	writeError(w, http.StatusServiceUnavailable, caller.RanNo, caller.ReasonUnready, reason, attempt)
	s.log.Info("request", zap.String("request", attempt), zap.String("outcome", "refused"),
		zap.Int("status", http.StatusServiceUnavailable), zap.String("last", reason))
}

func (s *Server) newInflight(w http.ResponseWriter, r *http.Request, table *bundle.Table, route *bundle.Route, arrived clock.Time, hopSend sendID) *inflight {
	meta := s.protocol.RequestMeta(r.Header)
	header := endToEndHeader(r.Header)
	for _, name := range []string{headerHop, headerBuild, headerService, headerCustomer} {
		delete(header, name)
	}
	s.protocol.StripReserved(header)
	limit := route.Timeout
	if meta.HasTimeout {
		limit = min(limit, meta.Timeout)
	}
	request := &inflight{
		server: s, writer: w, request: r, table: table, route: route, hopSend: hopSend, meta: meta, header: header,
		arrived: arrived, deadline: arrived.Add(limit), lastEventID: meta.LastEventID, parts: shareableParts(meta.Parts),
		placement: pool.Request{
			Parts: meta.Parts, PromptTokens: meta.PromptTokens, MaxOutputTokens: meta.MaxOutputTokens, Priority: route.Priority, Target: route.TargetLatency, HomeRegions: route.HomeRegions,
		},
	}
	request.setService(route.PickService(s.randomFraction()))
	return request
}

// setService selects the service that the request is for.
func (f *inflight) setService(service ident.Service) {
	backend := f.table.Backends[service]
	f.placement.Service, f.placement.Engine, f.placement.KVTokens = service, backend.Engine, backend.KVTokens
	f.placement.ColdRate, f.placement.MaxConnections = backend.ColdRate, backend.MaxConnections
}

// readBody reads the request body. If that fails, it sends the error response and returns false.
func (f *inflight) readBody(limit int64) bool {
	if f.request.ContentLength == 0 {
		return true
	}
	if limit <= 0 {
		limit = maxResponseBytes
	}
	if f.request.ContentLength > limit {
		f.reject(http.StatusRequestEntityTooLarge, "body is too large")
		return false
	}
	// Segments instead of a growing buffer, which would hold up to three times the body.
	var segments [][]byte
	total := int64(0)
	for {
		size := int64(firstStepBytes)
		switch {
		case f.request.ContentLength > 0:
			size = f.request.ContentLength + 1 // the read beyond the end finds the end
		case total > 0:
			size = bodyStepBytes
		}
		if !f.reserve(size) {
			return false
		}
		segment := make([]byte, size)
		n, err := readUpTo(f.request.Body, segment)
		segments, total = append(segments, segment[:n]), total+int64(n)
		switch {
		case err != nil && err != io.EOF && !f.enter(memory.Body): //nolint:errorlint // see below
			f.refuseEvicted()
			return false
		case err != nil && err != io.EOF: //nolint:errorlint // io.ErrUnexpectedEOF is a body that was cut off
			f.reject(http.StatusBadRequest, "body can't be read")
			return false
		case total > limit:
			f.reject(http.StatusRequestEntityTooLarge, "body is too large")
			return false
		case err != nil:
			f.server.setReadDeadline(f.writer, time.Time{}) // net/http reads beside the handler from now on
			return f.joinBody(segments, total)
		}
	}
}

// readUpTo reads until the buffer is full or an error, which may be io.EOF, and returns that error unchanged.
func readUpTo(r io.Reader, b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		var read int
		read, err = r.Read(b[n:])
		n += read
	}
	return n, err
}

// joinBody sets the body. Both copies of several segments are counted while they exist.
func (f *inflight) joinBody(segments [][]byte, total int64) bool {
	if len(segments) == 1 {
		f.body = segments[0]
		return true
	}
	if !f.reserve(total) {
		return false
	}
	f.body = bytes.Join(segments, nil)
	f.account().Hold(f.server.clock.Now(), -total) // releasing always succeeds
	return true
}

// reserve reserves memory for the body. If there is not enough, it refuses the request and returns false. The account of
// the connection releases the memory at the end of the request.
func (f *inflight) reserve(size int64) bool {
	if f.account().Hold(f.server.clock.Now(), size) {
		return true
	}
	// A response sent before the end of the body would be lost when the connection is reset.
	if _, err := io.CopyN(io.Discard, f.request.Body, maxDiscardBytes); err != nil && !errors.Is(err, io.EOF) && f.enter(memory.Body) {
		f.refundQuota()
		f.leave(0)
		return false
	}
	if !f.enter(memory.Body) {
		f.refuseEvicted()
		return false
	}
	f.refuse("no memory for the body", memoryRetryAfter)
	return false
}

func (f *inflight) reject(status int, reason string) {
	f.refundQuota()
	// A response sent before the end of the body would be lost when the connection is reset. A
	// body far above the limit is not read to its end.
	_, _ = io.CopyN(io.Discard, f.request.Body, maxDiscardBytes)
	f.writer.Header().Set("Connection", "close")
	f.renewWrite()
	writeError(f.writer, status, caller.RanNo, caller.ReasonMalformed, reason, f.meta.AttemptID)
	f.finish("rejected", status)
}
