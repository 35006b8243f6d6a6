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
	"github.com/tanagerbridge/tanagerbridge/logs"
	"github.com/tanagerbridge/tanagerbridge/stream"
)

const (
	// headerPriority carries the urgency of a request to an engine; 0 is the most urgent.
	headerPriority = "Tanager-Priority"
	// headerState is set by an endpoint that takes no new work.
	headerState = "Tanager-State"
	// unsentRetryDelay delays the end of an attempt that may not be sent, so that it isn't
	// retried in a tight loop.
	unsentRetryDelay = 100 * clock.Millisecond
	// cancelTimeout bounds the requests to an engine to delete a stream, the retries included.
	cancelTimeout = 2 * clock.Second
	// cancelTries is how often an engine is asked to delete a stream if the connection breaks.
	cancelTries = 3
	// cancelRetryDelay is the time between two such requests.
	cancelRetryDelay = 100 * clock.Millisecond
	// maxErrorBody bounds the body of an engine's error response.
	maxErrorBody ident.Bytes = 64 << 10
)

// engineAttempt is one attempt of a completion at an engine.
type engineAttempt struct {
	core.Dispatch
	cancel      context.CancelFunc
	stallTimer  *time.Timer
	body        io.ReadCloser
	reader      *stream.Reader
	firstEvent  stream.Event
	errorAnswer *ledger.Answer
	// engineID is the request id of this attempt at the engine.
	engineID ident.Request
	// eventOffset is the number of the last event sent to the caller before this stream's
	// first one.
	eventOffset int
	// cancelled is set once the stream is to be deleted at the engine.
	cancelled atomic.Bool
}

// abort cancels an attempt and deletes its stream at the engine, which would otherwise keep it
// for resumption, also if the attempt's connection is closed already.
func (a *engineAttempt) abort(s *Server) {
	if a.cancelled.Swap(true) {
		return
	}
	a.cancel()
	s.spawn(func() { s.deleteStream(a.Address, a.engineID) })
}

// deleteStream asks an engine to delete a stream until it responds. A stream that is unknown there counts as deleted.
func (s *Server) deleteStream(address string, id ident.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout.Duration())
	defer cancel()
	for range cancelTries {
		req, err := http.NewRequestWithContext(ctx, http.MethodDelete, streamURL(address, id), http.NoBody)
		if err != nil {
			return
		}
		if resp, err := s.client.send(req, false); err == nil {
			_ = resp.Body.Close()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(cancelRetryDelay.Duration()):
		}
	}
}

func streamURL(address string, id ident.Request) string {
	return "http://" + address + "/v1/streams/" + string(id)
}

// startAttempt starts an attempt in the background. The core is notified of its first event or its
// end.
func (x *engineCall) startAttempt(ctx context.Context, dispatch core.Dispatch) {
	ctx, cancel := context.WithCancel(ctx)
	attempt := &engineAttempt{Dispatch: dispatch, cancel: cancel, engineID: x.pending.endpointID(dispatch.Attempt)}
	attempt.stallTimer = time.AfterFunc(dispatch.FirstTimeout.Duration(), cancel)
	sent := x.writer.progress()
	if dispatch.Mode == core.ModeContinue {
		attempt.eventOffset = sent.lastEventID
	}
	if old := x.findAttempt(dispatch.Attempt); old != nil {
		attempt.eventOffset = old.eventOffset
		old.close()
	}
	x.attempts = append(x.attempts, attempt)
	go x.openStream(ctx, attempt, sent)
}

func (a *engineAttempt) close() {
	a.stallTimer.Stop()
	a.cancel()
	if a.body != nil {
		_ = a.body.Close()
	}
}

func (x *engineCall) openStream(ctx context.Context, attempt *engineAttempt, sent progress) {
	defer logs.RecoverPanic(x.server.log, "attempt", func() {
		x.server.countPanic()
		x.endAttempt(attempt, core.AttemptEnded{Outcome: fleet.Broken})
	})
	if !x.server.shell.maySend(attempt.Dispatch) {
		time.Sleep(unsentRetryDelay.Duration())
		x.endAttempt(attempt, core.AttemptEnded{Outcome: fleet.Refused})
		return
	}
	resp, err := x.sendRequest(ctx, attempt, sent)
	if err != nil {
		outcome, crashed := classifyError(err)
		if attempt.Mode == core.ModeResume && crashed {
			outcome = fleet.Unreachable
		}
		x.endAttempt(attempt, core.AttemptEnded{Outcome: outcome, Crashed: crashed})
		return
	}
	attempt.body = resp.Body
	if resp.StatusCode != http.StatusOK {
		x.handleRejection(attempt, resp)
		return
	}
	if id := resp.Header.Get(caller.HeaderRequest); id != string(attempt.engineID) {
		x.server.reportWrongRequest(attempt.Dispatch, id)
		x.endAttempt(attempt, core.AttemptEnded{Outcome: fleet.Broken})
		return
	}
	x.readFirstEvent(attempt, resp.Body, sent)
}

func (x *engineCall) readFirstEvent(attempt *engineAttempt, body io.Reader, sent progress) {
	last := 0
	if attempt.Mode == core.ModeResume {
		last = sent.lastEventID - attempt.eventOffset
	}
	attempt.reader = stream.ResumeReader(body, attempt.engineID, last)
	first, err := attempt.reader.Next()
	if err != nil {
		x.streamFailed(attempt, err)
		return
	}
	attempt.firstEvent = first
	attempt.stallTimer.Reset(attempt.StallTimeout.Duration())
	x.server.shell.apply(core.AnswerStarted{Request: attempt.Request, Attempt: attempt.Attempt})
}

func (x *engineCall) sendRequest(ctx context.Context, attempt *engineAttempt, sent progress) (*http.Response, error) {
	req, err := x.newRequest(ctx, attempt, sent)
	if err != nil {
		return nil, err
	}
	req.Header.Set(caller.HeaderRequest, string(attempt.engineID))
	return x.server.client.send(req, false)
}

func (x *engineCall) newRequest(ctx context.Context, attempt *engineAttempt, sent progress) (*http.Request, error) {
	if attempt.Mode == core.ModeResume {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, streamURL(attempt.Address, attempt.engineID), http.NoBody)
		if err == nil {
			req.Header.Set("Last-Event-ID", strconv.Itoa(sent.lastEventID-attempt.eventOffset))
		}
		return req, err
	}
	body, err := x.prompt.initialBody()
	if attempt.Mode == core.ModeContinue {
		body, err = x.prompt.continuationBody(sent.text, sent.tokens)
	}
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+attempt.Address+caller.PathComplete, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerPriority, strconv.Itoa(attempt.Urgency))
	return req, nil
}

// handleRejection handles an engine's response other than 200.
func (x *engineCall) handleRejection(attempt *engineAttempt, resp *http.Response) {
	defer attempt.close()
	leaving := resp.Header.Get(headerState) == "leaving"
	switch {
	case answersOther(resp, attempt.engineID):
		x.server.reportWrongRequest(attempt.Dispatch, resp.Header.Get(caller.HeaderRequest))
		x.endAttempt(attempt, core.AttemptEnded{Outcome: fleet.Broken})
	case attempt.Mode == core.ModeResume:
		x.endAttempt(attempt, core.AttemptEnded{Outcome: fleet.Refused, Leaving: leaving})
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		x.endAttempt(attempt, core.AttemptEnded{Outcome: fleet.Refused, Leaving: leaving})
	case resp.StatusCode >= http.StatusInternalServerError:
		x.endAttempt(attempt, core.AttemptEnded{Outcome: fleet.Broken})
	default:
		body, err := readAnswer(resp, maxErrorBody)
		if err != nil {
			x.streamFailed(attempt, err)
			return
		}
		attempt.errorAnswer = &ledger.Answer{Status: resp.StatusCode, Body: body}
		x.server.shell.apply(core.AnswerStarted{Request: attempt.Request, Attempt: attempt.Attempt})
	}
}

// streamFailed ends an attempt whose stream ended before its final marker.
func (x *engineCall) streamFailed(attempt *engineAttempt, err error) {
	crashed := false
	switch fault.KindOf[stream.Kind](err) {
	case stream.KindWrongRequest:
		x.server.reportWrongRequest(attempt.Dispatch, "")
	case stream.KindTruncated:
		crashed = isCrash(err)
	}
	x.server.log.Warn("stream failed", zap.String("request", string(attempt.Request)), zap.String("endpoint", string(attempt.Endpoint)), zap.Error(err))
	x.endAttempt(attempt, core.AttemptEnded{Outcome: fleet.Broken, Crashed: crashed})
}

func (x *engineCall) endAttempt(attempt *engineAttempt, ended core.AttemptEnded) {
	attempt.close()
	ended.Request, ended.Attempt = attempt.Request, attempt.Attempt
	sent := x.writer.progress()
	ended.Tokens, ended.AnswerSize = sent.tokens, ident.Bytes(sent.bytes)
	if sent.tokens > 1 {
		ended.TokenInterval = sent.meanTokenInterval()
	}
	x.server.shell.apply(ended)
}

// relayEvents forwards the winning attempt's events to the caller. It returns true if the
// request has ended, and false if the core has to decide how to proceed.
func (x *engineCall) relayEvents(ctx context.Context, number ident.Attempt) bool {
	attempt := x.findAttempt(number)
	if attempt.errorAnswer != nil {
		x.writer.writeErrorAnswer(x.server, *attempt.errorAnswer)
		x.endAttempt(attempt, core.AttemptEnded{Outcome: fleet.Complete})
		return true
	}
	defer attempt.stallTimer.Stop()
	event := attempt.firstEvent
	for {
		// The stall timer covers the engine only, not a slow caller.
		attempt.stallTimer.Stop()
		if err := x.writer.writeEvent(event, attempt.engineID, x.server.clock.Now(), !event.Done && attempt.reader.Buffered()); err != nil {
			x.endDisconnected()
			x.left = true
			return true
		}
		if event.Done {
			x.endAttempt(attempt, core.AttemptEnded{Outcome: fleet.Complete})
			return true
		}
		attempt.stallTimer.Reset(attempt.StallTimeout.Duration())
		var err error
		event, err = attempt.reader.Next()
		if err == nil {
			err = x.checkLength(event)
		}
		if err == nil {
			continue
		}
		x.writer.flush()
		if ctx.Err() != nil {
			x.endDisconnected()
			x.left = true
			return true
		}
		if x.writer.finished() && !errors.Is(err, io.EOF) {
			// Only the final marker is missing; the answer is complete.
			event = stream.Event{Done: true}
			continue
		}
		x.streamFailed(attempt, err)
		return false
	}
}

// checkLength returns an error if an event makes the answer longer than the caller asked for, or than
// any answer may be.
func (x *engineCall) checkLength(event stream.Event) error {
	tokens, size := x.writer.length()
	switch limit := x.prompt.maxTokens; {
	case event.Done || event.Content == "":
		return nil
	case limit > 0 && tokens >= limit:
		return fault.Newf("read", stream.KindTooLarge, "more than the %d tokens asked for", limit)
	case size+ident.Bytes(len(event.Data)) > maxAnswerSize:
		return fault.Newf("read", stream.KindTooLarge, "answer exceeds %d bytes", maxAnswerSize)
	}
	return nil
}

// endDisconnected ends a request whose caller has disconnected or whose handler has failed, and
// processes the remaining actions: the core cancels the attempts that may still run.
func (x *engineCall) endDisconnected() {
	x.server.shell.apply(core.CallerDisconnected{Request: x.pending.id})
	x.pending.processRemaining(x.server.shell, x.cancel)
}

// reportWrongRequest counts and logs a response that belongs to another request.
func (s *Server) reportWrongRequest(dispatch core.Dispatch, id string) {
	s.metrics.wrongRequest.Inc(1)
	s.log.Warn("response of another request dropped", zap.String("request", string(dispatch.Request)),
		zap.String("endpoint", string(dispatch.Endpoint)), zap.Int("other", len(id)))
}
