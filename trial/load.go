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
	// firstToken is the time to the first token, tokenIntervals the times between tokens.
	firstToken     time.Duration
	tokenIntervals []time.Duration
	state          outcomeState
	err            error
	// attempts is the number of sends; requestID is the id of the last one.
	attempts  ident.Attempt
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

func (l *loadGenerator) client(request *arrival) *caller.Client {
	key := clientKey{request.region, request.customer, request.home, l.plainService}
	if request.isCompletion() {
		key.service = l.engineService
	}
	return l.clients[key]
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

func sleepContext(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// sendOne sends a request and records its outcome.
func (l *loadGenerator) sendOne(ctx context.Context, request *arrival) {
	outcome := &outcome{arrival: request, sentAt: l.clock.Now()}
	switch request.kind {
	case question, draft:
		l.sendCompletion(ctx, outcome)
	case order:
		l.sendOrder(ctx, outcome)
	case stock:
		l.sendStock(ctx, outcome)
	}
	l.record(outcome)
}

func (l *loadGenerator) record(outcome *outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finished = append(l.finished, outcome)
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
		t.outcome.tokenIntervals = append(t.outcome.tokenIntervals, now.Sub(t.lastToken))
	}
	t.lastToken = now
	t.answer.WriteString(text)
}

// onRestart discards the partial answer when a completion starts again.
func (t *tokenRecorder) onRestart(error) {
	t.answer.Reset()
	t.outcome.tokenIntervals = t.outcome.tokenIntervals[:0]
}

func (l *loadGenerator) sendCompletion(ctx context.Context, outcome *outcome) {
	recorder := &tokenRecorder{outcome: outcome, sentAt: time.Now()}
	outcome.tokenIntervals = make([]time.Duration, 0, outcome.answerTokens)
	prompt := caller.Prompt{MaxTokens: outcome.tokenLimit}
	for _, m := range outcome.prompt {
		prompt.Messages = append(prompt.Messages, caller.Message(m))
	}
	completion, err := l.client(outcome.arrival).Complete(ctx, prompt, caller.Sink{OnToken: recorder.onToken, OnRestart: recorder.onRestart})
	outcome.attempts, outcome.requestID = completion.Attempts, completion.Request
	outcome.finish(stateOf(err), err)
	completionRequest := fakes.CompletionRequest{Messages: outcome.prompt, MaxTokens: outcome.tokenLimit}
	outcome.wrongAnswer = err == nil && recorder.answer.String() != fakes.FullAnswer(&completionRequest)
}

func (o *outcome) finish(state outcomeState, err error) { o.state, o.err = state, err }

// stateOf classifies the error of an idempotent request.
func stateOf(err error) outcomeState {
	if err == nil {
		return completed
	}
	if refusal := refusalOf(err); refusal != nil && refusal.Ran == caller.RanNo {
		return refused
	}
	return unknown
}

// refusalOf returns the entry's refusal in err's chain, or nil.
func refusalOf(err error) *caller.Refusal {
	var refusal *caller.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return nil
}

func (l *loadGenerator) sendOrder(ctx context.Context, outcome *outcome) {
	body, _ := json.Marshal(struct {
		Order string `json:"order"`
	}{outcome.serial}) // encoding a string can't fail
	out, err := l.client(outcome.arrival).Call(ctx, http.MethodPost, "/orders", body)
	outcome.attempts, outcome.requestID = out.Attempts, out.Request
	switch {
	case err == nil && out.State == caller.Done:
		var answer fakes.OrderAnswer
		outcome.finish(completed, nil)
		outcome.wrongAnswer = json.Unmarshal(out.Body, &answer) != nil || answer.Order != outcome.serial
	case out.State == caller.NotRun:
		outcome.finish(refused, err)
	default:
		outcome.finish(unknown, err)
	}
}

func (l *loadGenerator) sendStock(ctx context.Context, outcome *outcome) {
	query := "item=" + outcome.serial
	out, err := l.client(outcome.arrival).Call(ctx, http.MethodGet, "/stock?"+query, nil)
	outcome.attempts, outcome.requestID = out.Attempts, out.Request
	outcome.finish(stateOf(err), err)
	if err == nil {
		var answer fakes.StockAnswer
		outcome.wrongAnswer = json.Unmarshal(out.Body, &answer) != nil || answer.Stock != fakes.Stock(query)
	}
}
