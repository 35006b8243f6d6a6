package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ledger"
	"github.com/tanagerbridge/tanagerbridge/stream"
)

const (
	// headerPriority tells an engine how urgent a request is; 0 is the most urgent.
	headerPriority = "Tanager-Priority"
	// headerState is how an endpoint says that it takes no new work.
	headerState = "Tanager-State"
	// confirmPause keeps a try that may not be sent from coming back at once.
	confirmPause = 100 * clock.Millisecond
	// cancelLimit bounds the order to an engine to drop a stream.
	cancelLimit = 2 * clock.Second
	// errorBody bounds what is read of an endpoint's error.
	errorBody = 64 << 10
)

// engineTry is one try of a completion at an engine.
type engineTry struct {
	core.Dispatch
	cancel context.CancelFunc
	watch  *time.Timer
	body   io.ReadCloser
	reader *stream.Reader
	first  stream.Event
	final  *ledger.Answer
	// wire is the id of this try at the engine.
	wire ident.Request
	// base is the number of the caller's event before this stream's first one.
	base int
	done atomic.Bool
}

// abort ends a try and tells the engine to drop its stream, which it would
// otherwise keep for a while so that it can be resumed.
func (t *engineTry) abort(s *Server) {
	if t.done.Swap(true) {
		return
	}
	t.cancel()
	s.spawn(func() { s.dropStream(t.Address, t.wire) })
}

func (s *Server) dropStream(address string, id ident.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelLimit.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, streamURL(address, id), http.NoBody)
	if err != nil {
		return
	}
	if resp, err := s.client.send(req, false); err == nil {
		_ = resp.Body.Close()
	}
}

func streamURL(address string, id ident.Request) string {
	return "http://" + address + "/v1/streams/" + string(id)
}

// start begins a try in the background; the core hears of its first event or its end.
func (x *exchange) start(ctx context.Context, d core.Dispatch) {
	ctx, cancel := context.WithCancel(ctx)
	t := &engineTry{Dispatch: d, cancel: cancel, wire: x.flight.wire(d.Try)}
	t.watch = time.AfterFunc(d.Begin.Duration(), cancel)
	sent := x.out.progress()
	if d.Mode == core.Continue {
		t.base = sent.event
	}
	if old := x.find(d.Try); old != nil {
		t.base = old.base
		old.close()
	}
	x.tries = append(x.tries, t)
	go x.open(ctx, t, sent)
}

func (t *engineTry) close() {
	t.done.Store(true)
	t.watch.Stop()
	t.cancel()
	if t.body != nil {
		_ = t.body.Close()
	}
}

func (x *exchange) open(ctx context.Context, t *engineTry, sent progress) {
	if !x.server.shell.confirm(t.Dispatch) {
		time.Sleep(confirmPause.Duration())
		x.ended(t, core.Ended{Outcome: fleet.Refused})
		return
	}
	resp, err := x.send(ctx, t, sent)
	if err != nil {
		outcome, crashed := verdictOf(err)
		if t.Mode == core.Resume && crashed {
			outcome = fleet.Unreachable
		}
		x.ended(t, core.Ended{Outcome: outcome, Crashed: crashed})
		return
	}
	t.body = resp.Body
	if resp.StatusCode != http.StatusOK {
		x.declined(t, resp)
		return
	}
	if id := resp.Header.Get(caller.HeaderRequest); id != string(t.wire) {
		x.server.crossed(t.Dispatch, id)
		x.ended(t, core.Ended{Outcome: fleet.Broken})
		return
	}
	x.readFirst(t, resp.Body, sent)
}

func (x *exchange) readFirst(t *engineTry, body io.Reader, sent progress) {
	last := 0
	if t.Mode == core.Resume {
		last = sent.event - t.base
	}
	t.reader = stream.ResumeReader(body, t.wire, last)
	first, err := t.reader.Next()
	if err != nil {
		x.broken(t, err)
		return
	}
	t.first = first
	t.watch.Reset(t.Stall.Duration())
	x.server.shell.apply(core.First{Request: t.Request, Try: t.Try})
}

func (x *exchange) send(ctx context.Context, t *engineTry, sent progress) (*http.Response, error) {
	req, err := x.request(ctx, t, sent)
	if err != nil {
		return nil, err
	}
	req.Header.Set(caller.HeaderRequest, string(t.wire))
	return x.server.client.send(req, false)
}

func (x *exchange) request(ctx context.Context, t *engineTry, sent progress) (*http.Request, error) {
	if t.Mode == core.Resume {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, streamURL(t.Address, t.wire), http.NoBody)
		if err == nil {
			req.Header.Set("Last-Event-ID", strconv.Itoa(sent.event-t.base))
		}
		return req, err
	}
	body, err := x.prompt.fresh()
	if t.Mode == core.Continue {
		body, err = x.prompt.continued(sent.text, sent.tokens)
	}
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Address+caller.PathComplete, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerPriority, strconv.Itoa(t.Urgency))
	return req, nil
}

// declined handles an engine's answer that is no stream.
func (x *exchange) declined(t *engineTry, resp *http.Response) {
	defer t.close()
	leaving := resp.Header.Get(headerState) == "leaving"
	switch {
	case t.Mode == core.Resume:
		x.ended(t, core.Ended{Outcome: fleet.Refused, Leaving: leaving})
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		x.ended(t, core.Ended{Outcome: fleet.Refused, Leaving: leaving})
	case resp.StatusCode >= http.StatusInternalServerError:
		x.ended(t, core.Ended{Outcome: fleet.Broken})
	default:
		body, _ := io.ReadAll(io.LimitReader(resp.Body, errorBody))
		t.final = &ledger.Answer{Status: resp.StatusCode, Body: body}
		x.server.shell.apply(core.First{Request: t.Request, Try: t.Try})
	}
}

// broken reports a stream that ended before its final marker.
func (x *exchange) broken(t *engineTry, err error) {
	crashed := false
	switch fault.KindOf[stream.Kind](err) {
	case stream.Crossed:
		x.server.crossed(t.Dispatch, "")
	case stream.Truncated:
		crashed = isCrash(err)
	}
	x.server.log.Warn("stream broke", zap.String("request", string(t.Request)), zap.String("endpoint", string(t.Endpoint)), zap.Error(err))
	x.ended(t, core.Ended{Outcome: fleet.Broken, Crashed: crashed})
}

func (x *exchange) ended(t *engineTry, e core.Ended) {
	t.close()
	e.Request, e.Try = t.Request, t.Try
	sent := x.out.progress()
	e.Tokens, e.Received = sent.tokens, ident.Bytes(sent.bytes)
	if sent.tokens > 1 {
		e.Between = sent.between()
	}
	x.server.shell.apply(e)
}

// pass copies the winning try's events to the caller. It returns true if the
// request has ended, false if the core has to decide how it goes on.
func (x *exchange) pass(ctx context.Context, number ident.Try) bool {
	t := x.find(number)
	if t.final != nil {
		x.out.final(x.server, *t.final)
		x.ended(t, core.Ended{Outcome: fleet.Complete})
		return true
	}
	defer t.watch.Stop()
	e := t.first
	for {
		// The watch covers the engine only, not a slow caller.
		t.watch.Stop()
		if err := x.out.event(e, t.wire, x.server.clock.Now(), !e.Done && t.reader.Pending()); err != nil {
			x.leave()
			return true
		}
		if e.Done {
			x.ended(t, core.Ended{Outcome: fleet.Complete})
			return true
		}
		t.watch.Reset(t.Stall.Duration())
		var err error
		if e, err = t.reader.Next(); err == nil {
			continue
		}
		x.out.release()
		if ctx.Err() != nil {
			x.leave()
			return true
		}
		if x.out.finished() && !errors.Is(err, io.EOF) {
			// Only the final marker is missing; the answer itself is whole.
			e = stream.Event{Done: true}
			continue
		}
		x.broken(t, err)
		return false
	}
}

// leave ends a request whose caller has gone.
func (x *exchange) leave() {
	x.server.shell.apply(core.Gone{Request: x.flight.id})
	x.cancelAll()
}

// crossed counts an answer that belongs to another request.
func (s *Server) crossed(d core.Dispatch, id string) {
	s.metrics.crossed.Inc(1)
	s.log.Warn("answer of another request dropped", zap.String("request", string(d.Request)),
		zap.String("endpoint", string(d.Endpoint)), zap.Int("other", len(id)))
}
