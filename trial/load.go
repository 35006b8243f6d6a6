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

// end is how a request ended for its caller.
type end string

const (
	completed end = "completed"
	// refused means that the caller was told that the request was not run.
	refused end = "refused"
	// unknown is every other end: an order that may have been run, or a completion
	// without a whole answer.
	unknown end = "unknown"
)

// outcome is one request as its caller saw it.
type outcome struct {
	*arrival
	sent clock.Time
	// first is the time to the first token, gaps are the times between tokens.
	first time.Duration
	gaps  []time.Duration
	end   end
	err   error
	// attempts counts the caller's sends; request is the id of the last one.
	attempts ident.Try
	request  ident.Request
	// wrong says that the answer was not the one that the request has.
	wrong bool
}

// source is what a client is for.
type source struct {
	region, customer int
	home             ident.Home
	service          ident.Service
}

// load sends the arrivals of a plan, each at its time whatever became of others.
type load struct {
	plan    *plan
	clock   clock.Clock
	clients map[source]*caller.Client
	engine  ident.Service
	plain   ident.Service

	running sync.WaitGroup
	mu      sync.Mutex
	rows    []*outcome
}

// client returns the client for an arrival.
func (l *load) client(a *arrival) *caller.Client {
	s := source{a.region, a.customer, a.home, l.plain}
	if a.completion() {
		s.service = l.engine
	}
	return l.clients[s]
}

// send sends every arrival at its time after start until ctx ends. What was sent
// goes on under work.
func (l *load) send(ctx, work context.Context, start time.Time) {
	for i := range l.plan.arrivals {
		a := &l.plan.arrivals[i]
		if pause(ctx, time.Until(start.Add(a.at))) != nil {
			return
		}
		l.running.Go(func() { l.one(work, a) })
	}
}

func pause(ctx context.Context, d time.Duration) error {
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

// one sends a request and keeps its outcome.
func (l *load) one(ctx context.Context, a *arrival) {
	o := &outcome{arrival: a, sent: l.clock.Now()}
	switch a.work {
	case question, draft:
		l.complete(ctx, o)
	case order:
		l.order(ctx, o)
	case stock:
		l.stock(ctx, o)
	}
	l.keep(o)
}

func (l *load) keep(o *outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rows = append(l.rows, o)
}

// outcomes returns what ended so far.
func (l *load) outcomes() []*outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*outcome(nil), l.rows...)
}

// listener takes the tokens of one answer.
type listener struct {
	outcome *outcome
	begun   time.Time
	last    time.Time
	text    strings.Builder
}

func (t *listener) token(text string) {
	now := time.Now()
	if t.text.Len() == 0 {
		t.outcome.first = now.Sub(t.begun)
	} else {
		t.outcome.gaps = append(t.outcome.gaps, now.Sub(t.last))
	}
	t.last = now
	t.text.WriteString(text)
}

// restart drops an answer that begins again; its first token is still to come.
func (t *listener) restart(error) {
	t.text.Reset()
	t.outcome.gaps = t.outcome.gaps[:0]
}

func (l *load) complete(ctx context.Context, o *outcome) {
	t := &listener{outcome: o, begun: time.Now()}
	o.gaps = make([]time.Duration, 0, o.tokens)
	p := caller.Prompt{Tokens: o.limit}
	for _, m := range o.prompt {
		p.Messages = append(p.Messages, caller.Message(m))
	}
	a, err := l.client(o.arrival).Complete(ctx, p, caller.Sink{Token: t.token, Restart: t.restart})
	o.attempts, o.request = a.Attempts, a.Request
	o.finish(endOf(err), err)
	c := fakes.Completion{Messages: o.prompt, MaxTokens: o.limit}
	o.wrong = err == nil && t.text.String() != fakes.Answer(&c)
}

func (o *outcome) finish(e end, err error) { o.end, o.err = e, err }

// endOf classifies the error of an idempotent request.
func endOf(err error) end {
	if err == nil {
		return completed
	}
	if r := refusal(err); r != nil && r.Ran == caller.RanNo {
		return refused
	}
	return unknown
}

// refusal returns the entry's refusal in err's chain, or nil.
func refusal(err error) *caller.Refusal {
	var r *caller.Refusal
	if errors.As(err, &r) {
		return r
	}
	return nil
}

func (l *load) order(ctx context.Context, o *outcome) {
	body, _ := json.Marshal(struct {
		Order string `json:"order"`
	}{o.serial}) // a string always encodes
	out, err := l.client(o.arrival).Call(ctx, http.MethodPost, "/orders", body)
	o.attempts, o.request = out.Attempts, out.Request
	switch {
	case err == nil && out.State == caller.Done:
		var a fakes.OrderAnswer
		o.finish(completed, nil)
		o.wrong = json.Unmarshal(out.Body, &a) != nil || a.Order != o.serial
	case out.State == caller.NotRun:
		o.finish(refused, err)
	default:
		o.finish(unknown, err)
	}
}

func (l *load) stock(ctx context.Context, o *outcome) {
	query := "item=" + o.serial
	out, err := l.client(o.arrival).Call(ctx, http.MethodGet, "/stock?"+query, nil)
	o.attempts, o.request = out.Attempts, out.Request
	o.finish(endOf(err), err)
	if err == nil {
		var a fakes.StockAnswer
		o.wrong = json.Unmarshal(out.Body, &a) != nil || a.Stock != fakes.Stock(query)
	}
}
