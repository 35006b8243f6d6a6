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
	// headerPriority carries the urgency of a request to an engine; 0 is the most urgent.
	headerPriority = "Tanager-Priority"
	// headerState is set by an endpoint that takes no new work.
	headerState = "Tanager-State"
	// confirmRetryDelay delays the end of a try that may not be sent, so that it isn't
	// retried in a tight loop.
	confirmRetryDelay = 100 * clock.Millisecond
	// cancelTimeout bounds the request to an engine to delete a stream.
	cancelTimeout = 2 * clock.Second
	// maxErrorBody bounds the body of an engine's error response in bytes.
	maxErrorBody = 64 << 10
)

// engineTry is one try of a completion at an engine.
type engineTry struct {
	core.Dispatch
	cancel      context.CancelFunc
	stallTimer  *time.Timer
	body        io.ReadCloser
	reader      *stream.Reader
	firstEvent  stream.Event
	errorAnswer *ledger.Answer
	// engineID is the request id of this try at the engine.
	engineID ident.Request
	// eventOffset is the number of the last event sent to the caller before this stream's
	// first one.
	eventOffset int
	closed      atomic.Bool
}

// abort cancels a try and deletes its stream at the engine, which would otherwise keep it
// for resumption.
func (t *engineTry) abort(s *Server) {
	if t.closed.Swap(true) {
		return
	}
	t.cancel()
	s.spawn(func() { s.deleteStream(t.Address, t.engineID) })
}

func (s *Server) deleteStream(address string, id ident.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout.Duration())
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

// startTry starts a try in the background. The core is notified of its first event or its
// end.
func (x *engineCall) startTry(ctx context.Context, dispatch core.Dispatch) {
	ctx, cancel := context.WithCancel(ctx)
	try := &engineTry{Dispatch: dispatch, cancel: cancel, engineID: x.pending.endpointID(dispatch.Attempt)}
	try.stallTimer = time.AfterFunc(dispatch.FirstTimeout.Duration(), cancel)
	sent := x.writer.progress()
	if dispatch.Mode == core.ModeContinue {
		try.eventOffset = sent.lastEvent
	}
	if old := x.findTry(dispatch.Attempt); old != nil {
		try.eventOffset = old.eventOffset
		old.close()
	}
	x.tries = append(x.tries, try)
	go x.openStream(ctx, try, sent)
}

func (t *engineTry) close() {
	t.closed.Store(true)
	t.stallTimer.Stop()
	t.cancel()
	if t.body != nil {
		_ = t.body.Close()
	}
}

func (x *engineCall) openStream(ctx context.Context, try *engineTry, sent progress) {
	if !x.server.shell.confirm(try.Dispatch) {
		time.Sleep(confirmRetryDelay.Duration())
		x.endTry(try, core.AttemptEnded{Outcome: fleet.Refused})
		return
	}
	resp, err := x.sendRequest(ctx, try, sent)
	if err != nil {
		outcome, crashed := classifyError(err)
		if try.Mode == core.ModeResume && crashed {
			outcome = fleet.Unreachable
		}
		x.endTry(try, core.AttemptEnded{Outcome: outcome, Crashed: crashed})
		return
	}
	try.body = resp.Body
	if resp.StatusCode != http.StatusOK {
		x.handleRejection(try, resp)
		return
	}
	if id := resp.Header.Get(caller.HeaderRequest); id != string(try.engineID) {
		x.server.reportCrossed(try.Dispatch, id)
		x.endTry(try, core.AttemptEnded{Outcome: fleet.Broken})
		return
	}
	x.readFirstEvent(try, resp.Body, sent)
}

func (x *engineCall) readFirstEvent(try *engineTry, body io.Reader, sent progress) {
	last := 0
	if try.Mode == core.ModeResume {
		last = sent.lastEvent - try.eventOffset
	}
	try.reader = stream.ResumeReader(body, try.engineID, last)
	first, err := try.reader.Next()
	if err != nil {
		x.streamFailed(try, err)
		return
	}
	try.firstEvent = first
	try.stallTimer.Reset(try.StallTimeout.Duration())
	x.server.shell.apply(core.AnswerStarted{Request: try.Request, Attempt: try.Attempt})
}

func (x *engineCall) sendRequest(ctx context.Context, try *engineTry, sent progress) (*http.Response, error) {
	req, err := x.newRequest(ctx, try, sent)
	if err != nil {
		return nil, err
	}
	req.Header.Set(caller.HeaderRequest, string(try.engineID))
	return x.server.client.send(req, false)
}

func (x *engineCall) newRequest(ctx context.Context, try *engineTry, sent progress) (*http.Request, error) {
	if try.Mode == core.ModeResume {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, streamURL(try.Address, try.engineID), http.NoBody)
		if err == nil {
			req.Header.Set("Last-Event-ID", strconv.Itoa(sent.lastEvent-try.eventOffset))
		}
		return req, err
	}
	body, err := x.prompt.initialBody()
	if try.Mode == core.ModeContinue {
		body, err = x.prompt.continuationBody(sent.text, sent.tokens)
	}
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+try.Address+caller.PathComplete, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerPriority, strconv.Itoa(try.Urgency))
	return req, nil
}

// handleRejection handles an engine's response other than 200.
func (x *engineCall) handleRejection(try *engineTry, resp *http.Response) {
	defer try.close()
	leaving := resp.Header.Get(headerState) == "leaving"
	switch {
	case try.Mode == core.ModeResume:
		x.endTry(try, core.AttemptEnded{Outcome: fleet.Refused, Leaving: leaving})
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		x.endTry(try, core.AttemptEnded{Outcome: fleet.Refused, Leaving: leaving})
	case resp.StatusCode >= http.StatusInternalServerError:
		x.endTry(try, core.AttemptEnded{Outcome: fleet.Broken})
	default:
		body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
		try.errorAnswer = &ledger.Answer{Status: resp.StatusCode, Body: body}
		x.server.shell.apply(core.AnswerStarted{Request: try.Request, Attempt: try.Attempt})
	}
}

// streamFailed ends a try whose stream ended before its final marker.
func (x *engineCall) streamFailed(try *engineTry, err error) {
	crashed := false
	switch fault.KindOf[stream.Kind](err) {
	case stream.WrongRequest:
		x.server.reportCrossed(try.Dispatch, "")
	case stream.Truncated:
		crashed = isCrash(err)
	}
	x.server.log.Warn("stream failed", zap.String("request", string(try.Request)), zap.String("endpoint", string(try.Endpoint)), zap.Error(err))
	x.endTry(try, core.AttemptEnded{Outcome: fleet.Broken, Crashed: crashed})
}

func (x *engineCall) endTry(try *engineTry, ended core.AttemptEnded) {
	try.close()
	ended.Request, ended.Attempt = try.Request, try.Attempt
	sent := x.writer.progress()
	ended.Tokens, ended.AnswerSize = sent.tokens, ident.Bytes(sent.bytes)
	if sent.tokens > 1 {
		ended.TokenInterval = sent.meanTokenInterval()
	}
	x.server.shell.apply(ended)
}

// relayEvents forwards the winning try's events to the caller. It returns true if the
// request has ended, and false if the core has to decide how to proceed.
func (x *engineCall) relayEvents(ctx context.Context, number ident.Attempt) bool {
	try := x.findTry(number)
	if try.errorAnswer != nil {
		x.writer.writeErrorAnswer(x.server, *try.errorAnswer)
		x.endTry(try, core.AttemptEnded{Outcome: fleet.Complete})
		return true
	}
	defer try.stallTimer.Stop()
	event := try.firstEvent
	for {
		// The stall timer covers the engine only, not a slow caller.
		try.stallTimer.Stop()
		if err := x.writer.writeEvent(event, try.engineID, x.server.clock.Now(), !event.Done && try.reader.Buffered()); err != nil {
			x.callerGone()
			return true
		}
		if event.Done {
			x.endTry(try, core.AttemptEnded{Outcome: fleet.Complete})
			return true
		}
		try.stallTimer.Reset(try.StallTimeout.Duration())
		var err error
		if event, err = try.reader.Next(); err == nil {
			continue
		}
		x.writer.flush()
		if ctx.Err() != nil {
			x.callerGone()
			return true
		}
		if x.writer.finished() && !errors.Is(err, io.EOF) {
			// Only the final marker is missing; the answer is complete.
			event = stream.Event{Done: true}
			continue
		}
		x.streamFailed(try, err)
		return false
	}
}

// callerGone ends a request whose caller has disconnected.
func (x *engineCall) callerGone() {
	x.server.shell.apply(core.CallerDisconnected{Request: x.pending.id})
	x.cancelAll()
}

// reportCrossed counts and logs a response that belongs to another request.
func (s *Server) reportCrossed(dispatch core.Dispatch, id string) {
	s.metrics.crossed.Inc(1)
	s.log.Warn("response of another request dropped", zap.String("request", string(dispatch.Request)),
		zap.String("endpoint", string(dispatch.Endpoint)), zap.Int("other", len(id)))
}
