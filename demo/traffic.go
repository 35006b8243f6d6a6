package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fakes"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/stage"
)

const (
	// stallLimit is the silence after which a caller sends again; it is above the
	// wait of any request here.
	stallLimit = 4 * clock.Second
	// boundShare is the share of requests that are bound to a home.
	boundShare = 0.27
)

// rate is how often each region sends one kind of request.
type rate struct {
	work work
	gap  time.Duration
}

func rates() []rate {
	return []rate{
		{question, 200 * time.Millisecond},
		{draft, 900 * time.Millisecond},
		{order, 300 * time.Millisecond},
		{stock, 400 * time.Millisecond},
	}
}

// traffic sends requests from all regions.
type traffic struct {
	cfg     Config
	stage   *stage.Stage
	results results
	number  atomic.Int64
	clients atomic.Int64
	sources sync.WaitGroup
	running sync.WaitGroup
	stop    context.CancelFunc
	cancel  context.CancelFunc
}

func newTraffic(cfg Config, s *stage.Stage) *traffic { return &traffic{cfg: cfg, stage: s} }

// source sends the requests of one region and home.
type source struct {
	region        ident.Region
	home          ident.Home
	engine, plain *caller.Client
}

// start begins to send from each region, with and without a home.
func (t *traffic) start(ctx context.Context) error {
	sending, stop := context.WithCancel(ctx)
	t.stop = stop
	ctx, t.cancel = context.WithCancel(ctx)
	for i, r := range t.stage.Regions() {
		free, err := t.source(r, "")
		if err != nil {
			return err
		}
		bound, err := t.source(r, ident.Home(r))
		if err != nil {
			return err
		}
		random := rand.New(rand.NewPCG(t.cfg.Seed, uint64(i))) //nolint:gosec // choices are not secrets
		var mu sync.Mutex
		choose := func() *source {
			mu.Lock()
			defer mu.Unlock()
			if random.Float64() < boundShare {
				return bound
			}
			return free
		}
		for _, e := range rates() {
			t.sources.Go(func() { t.send(sending, ctx, e, choose) })
		}
	}
	return nil
}

func (t *traffic) source(r ident.Region, home ident.Home) (*source, error) {
	entries, err := t.stage.CallerAddresses(r)
	if err != nil {
		return nil, err
	}
	cfg := caller.Config{
		Entries: entries, Home: home, Caller: ident.Caller("shop-" + string(r)),
		Stall: stallLimit,
		HTTP:  &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}},
	}
	s := &source{region: r, home: home}
	cfg.Service = t.stage.EngineService()
	cfg.Seed = t.seed()
	if s.engine, err = caller.New(cfg); err != nil {
		return nil, err
	}
	cfg.Service = t.stage.PlainService()
	cfg.Seed = t.seed()
	s.plain, err = caller.New(cfg)
	return s, err
}

// seed returns a seed of its own for each client, because request ids follow from it.
func (t *traffic) seed() uint64 { return t.cfg.Seed<<32 + uint64(t.clients.Add(1)) }

// send begins requests until sending ends; each one runs to its own end.
func (t *traffic) send(sending, ctx context.Context, e rate, choose func() *source) {
	ticker := time.NewTicker(e.gap)
	defer ticker.Stop()
	for {
		select {
		case <-sending.Done():
			return
		case <-ticker.C:
		}
		s := choose()
		t.running.Go(func() { t.one(ctx, s, e.work) })
	}
}

// finish stops sending, waits for what is in progress and cancels what takes
// longer than the limit.
func (t *traffic) finish(limit time.Duration) {
	t.stop()
	t.sources.Wait()
	timer := time.AfterFunc(limit, t.cancel)
	defer timer.Stop()
	t.running.Wait()
	t.cancel()
}

func (t *traffic) one(ctx context.Context, s *source, w work) {
	n := t.number.Add(1)
	switch w {
	case question:
		// 10 to 39 tokens, and a limit that makes it short work.
		t.complete(ctx, s, w, fmt.Sprintf("question %d from %s: how long is a rail? [len=%d]", n, s.region, 10+n%30), 64)
	case draft:
		// 150 to 299 tokens: 1.5 to 3 s.
		pack := strings.Repeat("curriculum pack of term one ", 60)
		t.complete(ctx, s, w, fmt.Sprintf("%s draft %d for %s [len=%d]", pack, n, s.region, 150+n%150), 2000)
	case order:
		t.order(ctx, s, fmt.Sprintf("%s-%d", s.region, n))
	case stock:
		t.stock(ctx, s, fmt.Sprintf("item=%d", n))
	}
}

// complete sends one completion and compares the answer with the engine's text.
func (t *traffic) complete(ctx context.Context, s *source, w work, text string, limit ident.Tokens) {
	c := fakes.Completion{Messages: []fakes.Message{{Role: "user", Content: text}}, MaxTokens: limit}
	i := t.results.open(result{work: w, region: s.region, home: s.home, prompt: fakes.HashPrompt(c.Messages)})
	var got strings.Builder
	var restarts []time.Time
	sink := caller.Sink{
		Token:   func(token string) { got.WriteString(token) },
		Restart: func(error) { got.Reset(); restarts = append(restarts, time.Now()) },
	}
	p := caller.Prompt{Messages: []caller.Message{{Role: "user", Content: text}}, Tokens: limit}
	a, err := s.engine.Complete(ctx, p, sink)
	t.results.change(i, func(r *result) {
		r.ended, r.end, r.err = time.Now(), endOf(err), err
		r.attempts, r.address, r.restarts = a.Attempts, a.Address, restarts
		r.wrong = err == nil && got.String() != fakes.Answer(&c)
	})
}

func (t *traffic) order(ctx context.Context, s *source, number string) {
	i := t.results.open(result{work: order, region: s.region, home: s.home, number: number})
	body, _ := json.Marshal(struct {
		Order string `json:"order"`
	}{number}) // a string always encodes
	o, err := s.plain.Call(ctx, http.MethodPost, "/orders", body)
	var a fakes.OrderAnswer
	t.results.change(i, func(r *result) {
		r.ended, r.end, r.err = time.Now(), endOfCall(&o, err), err
		r.attempts, r.address = o.Attempts, o.Address
		if r.end == completed {
			r.wrong = json.Unmarshal(o.Body, &a) != nil || a.Order != number
		}
	})
}

func (t *traffic) stock(ctx context.Context, s *source, query string) {
	i := t.results.open(result{work: stock, region: s.region, home: s.home, number: query})
	o, err := s.plain.Call(ctx, http.MethodGet, "/stock?"+query, nil)
	var a fakes.StockAnswer
	t.results.change(i, func(r *result) {
		r.ended, r.end, r.err = time.Now(), endOf(err), err
		r.attempts, r.address = o.Attempts, o.Address
		if err == nil {
			r.wrong = json.Unmarshal(o.Body, &a) != nil || a.Stock != fakes.Stock(query)
		}
	})
}

// refusalOf returns the entry's refusal in err's chain, or nil.
func refusalOf(err error) *caller.Refusal {
	var r *caller.Refusal
	if errors.As(err, &r) {
		return r
	}
	return nil
}
