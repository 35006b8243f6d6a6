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
	// stallTimeout is the time without data after which a caller resends. It exceeds the
	// wait of any request of the demonstration.
	stallTimeout = 4 * clock.Second
	// homeShare is the share of requests that are bound to a home.
	homeShare = 0.27
)

// sendRate is the interval at which each region sends one kind of request.
type sendRate struct {
	kind     requestKind
	interval time.Duration
}

func sendRates() []sendRate {
	return []sendRate{
		{question, 200 * time.Millisecond},
		{draft, 900 * time.Millisecond},
		{order, 300 * time.Millisecond},
		{stock, 400 * time.Millisecond},
	}
}

// traffic sends requests from all regions.
type traffic struct {
	cfg            Config
	deployment     *stage.Deployment
	results        resultLog
	sequence       atomic.Int64
	clientCount    atomic.Int64
	senders        sync.WaitGroup
	inFlight       sync.WaitGroup
	stopSending    context.CancelFunc
	cancelRequests context.CancelFunc
}

func newTraffic(cfg Config, deployment *stage.Deployment) *traffic {
	return &traffic{cfg: cfg, deployment: deployment}
}

// clientPair has the clients of one region and home, one for each service.
type clientPair struct {
	region        ident.Region
	home          ident.Home
	engine, plain *caller.Client
}

// start starts sending from each region, with and without a home.
func (t *traffic) start(ctx context.Context) error {
	sending, stop := context.WithCancel(ctx)
	t.stopSending = stop
	ctx, t.cancelRequests = context.WithCancel(ctx)
	for i, r := range t.deployment.Regions() {
		free, err := t.newClients(r, "")
		if err != nil {
			return err
		}
		bound, err := t.newClients(r, ident.Home(r))
		if err != nil {
			return err
		}
		random := rand.New(rand.NewPCG(t.cfg.Seed, uint64(i))) //nolint:gosec // choices are not secrets
		var mu sync.Mutex
		choose := func() *clientPair {
			mu.Lock()
			defer mu.Unlock()
			if random.Float64() < homeShare {
				return bound
			}
			return free
		}
		for _, e := range sendRates() {
			t.senders.Go(func() { t.sendPeriodically(sending, ctx, e, choose) })
		}
	}
	return nil
}

func (t *traffic) newClients(region ident.Region, home ident.Home) (*clientPair, error) {
	entries, err := t.deployment.CallerAddresses(region)
	if err != nil {
		return nil, err
	}
	cfg := caller.Config{
		Entries: entries, Home: home, Caller: ident.Caller("shop-" + string(region)),
		StallTimeout: stallTimeout,
		HTTP:         &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}},
	}
	pair := &clientPair{region: region, home: home}
	cfg.Service = t.deployment.EngineService()
	cfg.Seed = t.nextSeed()
	if pair.engine, err = caller.New(cfg); err != nil {
		return nil, err
	}
	cfg.Service = t.deployment.PlainService()
	cfg.Seed = t.nextSeed()
	pair.plain, err = caller.New(cfg)
	return pair, err
}

// nextSeed returns a distinct seed for each client, because request ids are derived from it.
func (t *traffic) nextSeed() uint64 { return t.cfg.Seed<<32 + uint64(t.clientCount.Add(1)) }

// sendPeriodically starts requests until sending ends. Requests in progress continue until
// ctx ends.
func (t *traffic) sendPeriodically(sending, ctx context.Context, rate sendRate, choose func() *clientPair) {
	ticker := time.NewTicker(rate.interval)
	defer ticker.Stop()
	for {
		select {
		case <-sending.Done():
			return
		case <-ticker.C:
		}
		clients := choose()
		t.inFlight.Go(func() { t.sendOne(ctx, clients, rate.kind) })
	}
}

// finish stops sending, waits for the requests in progress and cancels them after the
// limit.
func (t *traffic) finish(limit time.Duration) {
	t.stopSending()
	t.senders.Wait()
	timer := time.AfterFunc(limit, t.cancelRequests)
	defer timer.Stop()
	t.inFlight.Wait()
	t.cancelRequests()
}

func (t *traffic) sendOne(ctx context.Context, clients *clientPair, kind requestKind) {
	number := t.sequence.Add(1)
	switch kind {
	case question:
		// 10 to 39 tokens, with a token limit that selects class short.
		t.sendCompletion(ctx, clients, kind, fmt.Sprintf("question %d from %s: how long is a rail? [len=%d]", number, clients.region, 10+number%30), 64)
	case draft:
		// 150 to 299 tokens: 1.5 to 3 s.
		pack := strings.Repeat("curriculum pack of term one ", 60)
		t.sendCompletion(ctx, clients, kind, fmt.Sprintf("%s draft %d for %s [len=%d]", pack, number, clients.region, 150+number%150), 2000)
	case order:
		t.sendOrder(ctx, clients, fmt.Sprintf("%s-%d", clients.region, number))
	case stock:
		t.sendStock(ctx, clients, fmt.Sprintf("item=%d", number))
	}
}

// sendCompletion sends one completion and compares the answer with the expected text.
func (t *traffic) sendCompletion(ctx context.Context, clients *clientPair, kind requestKind, text string, limit ident.Tokens) {
	completionRequest := fakes.CompletionRequest{Messages: []fakes.Message{{Role: "user", Content: text}}, MaxTokens: limit}
	index := t.results.add(result{kind: kind, region: clients.region, home: clients.home, promptHash: fakes.HashPrompt(completionRequest.Messages)})
	var got strings.Builder
	var restarts []time.Time
	sink := caller.Sink{
		OnToken:   func(token string) { got.WriteString(token) },
		OnRestart: func(error) { got.Reset(); restarts = append(restarts, time.Now()) },
	}
	prompt := caller.Prompt{Messages: []caller.Message{{Role: "user", Content: text}}, MaxTokens: limit}
	completion, err := clients.engine.Complete(ctx, prompt, sink)
	t.results.update(index, func(request *result) {
		request.endedAt, request.state, request.err = time.Now(), stateOf(err), err
		request.attempts, request.address, request.restarts = completion.Attempts, completion.Address, restarts
		request.wrongAnswer = err == nil && got.String() != fakes.FullAnswer(&completionRequest)
	})
}

func (t *traffic) sendOrder(ctx context.Context, clients *clientPair, number string) {
	index := t.results.add(result{kind: order, region: clients.region, home: clients.home, key: number})
	body, _ := json.Marshal(struct {
		Order string `json:"order"`
	}{number}) // encoding a string can't fail
	outcome, err := clients.plain.Call(ctx, http.MethodPost, "/orders", body)
	var answer fakes.OrderAnswer
	t.results.update(index, func(request *result) {
		request.endedAt, request.state, request.err = time.Now(), orderState(&outcome, err), err
		request.attempts, request.address = outcome.Attempts, outcome.Address
		if request.state == completed {
			request.wrongAnswer = json.Unmarshal(outcome.Body, &answer) != nil || answer.Order != number
		}
	})
}

func (t *traffic) sendStock(ctx context.Context, clients *clientPair, query string) {
	index := t.results.add(result{kind: stock, region: clients.region, home: clients.home, key: query})
	outcome, err := clients.plain.Call(ctx, http.MethodGet, "/stock?"+query, nil)
	var answer fakes.StockAnswer
	t.results.update(index, func(request *result) {
		request.endedAt, request.state, request.err = time.Now(), stateOf(err), err
		request.attempts, request.address = outcome.Attempts, outcome.Address
		if err == nil {
			request.wrongAnswer = json.Unmarshal(outcome.Body, &answer) != nil || answer.Stock != fakes.Stock(query)
		}
	})
}

// refusalOf returns the entry's refusal in err's chain, or nil.
func refusalOf(err error) *caller.Refusal {
	var refusal *caller.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return nil
}
