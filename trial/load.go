package trial

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fakes"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// outcomeState is the final state of a request as its caller saw it.
type outcomeState string

const (
	completed outcomeState = "completed"
	// refused means that the entry reported the request as not run.
	refused outcomeState = "refused"
	// unknown is any other outcome: an order that may have been run, or a completion
	// without a complete answer.
	unknown outcomeState = "unknown"
)

// outcome is the result of one request as its caller saw it.
type outcome struct {
	*arrival
	sentAt clock.Time
	// firstToken is the time to the first token, tokenGaps the times between tokens.
	firstToken time.Duration
	tokenGaps  []time.Duration
	state      outcomeState
	err        error
	// attempts is the number of sends; requestID is the id of the last one.
	attempts  ident.Try
	requestID ident.Request
	// wrongAnswer reports that the answer differs from the expected one.
	wrongAnswer bool
}

// clientKey identifies a client; each combination has its own.
type clientKey struct {
	region, customer int
	home             ident.Home
	service          ident.Service
}

// loadGenerator sends the arrivals of a plan as an open loop: each at its time,
// whatever the state of earlier requests.
type loadGenerator struct {
	plan          *plan
	clock         clock.Clock
	clients       map[clientKey]*caller.Client
	engineService ident.Service
	plainService  ident.Service

	inFlight sync.WaitGroup
	mu       sync.Mutex
	finished []*outcome
}

func (l *loadGenerator) client(a *arrival) *caller.Client {
	s := clientKey{a.region, a.customer, a.home, l.plainService}
	if a.isCompletion() {
		s.service = l.engineService
	}
	return l.clients[s]
}

// sendAll sends every arrival at its offset from start until ctx ends. Requests in
// progress continue until work ends.
func (l *loadGenerator) sendAll(ctx, work context.Context, start time.Time) {
	for i := range l.plan.arrivals {
		a := &l.plan.arrivals[i]
		if sleepContext(ctx, time.Until(start.Add(a.offset))) != nil {
			return
		}
		l.inFlight.Go(func() { l.sendOne(work, a) })
	}
}

func sleepContext(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// sendOne sends a request and records its outcome.
func (l *loadGenerator) sendOne(ctx context.Context, a *arrival) {
	o := &outcome{arrival: a, sentAt: l.clock.Now()}
	switch a.kind {
	case question, draft:
		l.sendCompletion(ctx, o)
	case order:
		l.sendOrder(ctx, o)
	case stock:
		l.sendStock(ctx, o)
	}
	l.record(o)
}

func (l *loadGenerator) record(o *outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finished = append(l.finished, o)
}

// outcomes returns the outcomes of all requests that have ended.
func (l *loadGenerator) outcomes() []*outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*outcome(nil), l.finished...)
}

// tokenRecorder records the tokens of one answer and their times.
type tokenRecorder struct {
	outcome   *outcome
	sentAt    time.Time
	lastToken time.Time
	answer    strings.Builder
}

func (t *tokenRecorder) onToken(text string) {
	now := time.Now()
	if t.answer.Len() == 0 {
		t.outcome.firstToken = now.Sub(t.sentAt)
	} else {
		t.outcome.tokenGaps = append(t.outcome.tokenGaps, now.Sub(t.lastToken))
	}
	t.lastToken = now
	t.answer.WriteString(text)
}

// onRestart discards the partial answer when a completion starts again.
func (t *tokenRecorder) onRestart(error) {
	t.answer.Reset()
	t.outcome.tokenGaps = t.outcome.tokenGaps[:0]
}

func (l *loadGenerator) sendCompletion(ctx context.Context, o *outcome) {
	t := &tokenRecorder{outcome: o, sentAt: time.Now()}
	o.tokenGaps = make([]time.Duration, 0, o.answerTokens)
	p := caller.Prompt{Tokens: o.tokenLimit}
	for _, m := range o.prompt {
		p.Messages = append(p.Messages, caller.Message(m))
	}
	a, err := l.client(o.arrival).Complete(ctx, p, caller.Sink{Token: t.onToken, Restart: t.onRestart})
	o.attempts, o.requestID = a.Attempts, a.Request
	o.finish(stateOf(err), err)
	c := fakes.Completion{Messages: o.prompt, MaxTokens: o.tokenLimit}
	o.wrongAnswer = err == nil && t.answer.String() != fakes.Answer(&c)
}

func (o *outcome) finish(e outcomeState, err error) { o.state, o.err = e, err }

// stateOf classifies the error of an idempotent request.
func stateOf(err error) outcomeState {
	if err == nil {
		return completed
	}
	if r := refusalOf(err); r != nil && r.Ran == caller.RanNo {
		return refused
	}
	return unknown
}

// refusalOf returns the entry's refusal in err's chain, or nil.
func refusalOf(err error) *caller.Refusal {
	var r *caller.Refusal
	if errors.As(err, &r) {
		return r
	}
	return nil
}

func (l *loadGenerator) sendOrder(ctx context.Context, o *outcome) {
	body, _ := json.Marshal(struct {
		Order string `json:"order"`
	}{o.serial}) // encoding a string can't fail
	out, err := l.client(o.arrival).Call(ctx, http.MethodPost, "/orders", body)
	o.attempts, o.requestID = out.Attempts, out.Request
	switch {
	case err == nil && out.State == caller.Done:
		var a fakes.OrderAnswer
		o.finish(completed, nil)
		o.wrongAnswer = json.Unmarshal(out.Body, &a) != nil || a.Order != o.serial
	case out.State == caller.NotRun:
		o.finish(refused, err)
	default:
		o.finish(unknown, err)
	}
}

func (l *loadGenerator) sendStock(ctx context.Context, o *outcome) {
	query := "item=" + o.serial
	out, err := l.client(o.arrival).Call(ctx, http.MethodGet, "/stock?"+query, nil)
	o.attempts, o.requestID = out.Attempts, out.Request
	o.finish(stateOf(err), err)
	if err == nil {
		var a fakes.StockAnswer
		o.wrongAnswer = json.Unmarshal(out.Body, &a) != nil || a.Stock != fakes.Stock(query)
	}
}
