package trial

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/fakes"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/stage"
)

// requestKind selects the endpoint and the size of a request.
type requestKind string

const (
	question requestKind = "question"
	draft    requestKind = "draft"
	order    requestKind = "order"
	stock    requestKind = "stock"
)

// questionWords is the prompt length of a question in words. It is less than one block
// of the engines' prefix caches, so that questions share no cached prefix.
const questionWords = 13

// arrival is one scheduled request.
type arrival struct {
	// offset is relative to the start of the measurement; negative during the warm-up.
	offset   time.Duration
	region   int
	customer int
	home     ident.Home
	kind     requestKind
	// serial is unique within a run.
	serial string
	// answerTokens is the length of the answer and promptWords that of the prompt;
	// sharedWords is the length of the prefix that all drafts of the customer share.
	answerTokens, promptWords, sharedWords int
	prompt                                 []fakes.Message
	tokenLimit                             ident.Tokens
	promptHash                             uint64
}

// measured reports whether the request is sent after the warm-up.
func (a *arrival) measured() bool { return a.offset >= 0 }

// isCompletion reports whether the request goes to an engine.
func (a *arrival) isCompletion() bool { return a.kind == question || a.kind == draft }

// class returns the class that the bundle assigns to a completion.
func (a *arrival) class() ident.Class {
	if a.kind == draft {
		return stage.ClassLong
	}
	return stage.ClassShort
}

// plan generates the arrivals of one run. They depend on the seed, the deployment and
// the load of the case, not on the policy.
type plan struct {
	model    *model
	seed     uint64
	regions  []ident.Region
	homes    []bundle.Home
	arrivals []arrival
	// sharedPrompts has the shared prompt of each customer, ordered by region.
	sharedPrompts []string
}

// newPlan returns a plan with its arrivals sorted by time.
//
// One in 50 completions is a straggler of 20 times the length, within bounds: a
// straggling draft is limited to the rest of the run or to a quarter of the run,
// whichever is longer, and a straggling question to its class's limit of 256 tokens.
// Stragglers carry the same token limits as other requests, none for drafts and 256
// for questions, so that only the length marker, which engines alone read, identifies
// them.
func newPlan(model *model, seed uint64, regions []ident.Region, homes []bundle.Home) *plan {
	p := &plan{model: model, seed: seed, regions: regions, homes: homes}
	questions, drafts := model.requestRates()
	for i := range regions {
		for c := range customersPerRegion {
			p.sharedPrompts = append(p.sharedPrompts, p.sharedPrompt(i, c))
		}
		load := func(at time.Duration) float64 { return model.demandShare(i, at) }
		p.addPoisson(i, question, questions, load)
		p.addPoisson(i, draft, drafts, load)
		p.addPoisson(i, order, plainRate, constantLoad)
		p.addPoisson(i, stock, plainRate, constantLoad)
	}
	slices.SortStableFunc(p.arrivals, func(a, b arrival) int { return int(a.offset - b.offset) })
	return p
}

func constantLoad(time.Duration) float64 { return 1 }

// addPoisson adds the arrivals of a Poisson process. Its rate is the given one, in
// requests per second at load 1, multiplied by the load. Arrivals are drawn at the
// maximum rate and thinned.
func (p *plan) addPoisson(region int, kind requestKind, rate float64, load func(time.Duration) float64) {
	random := rand.New(rand.NewPCG(p.seed, randomStream(region, kind)))
	maxRate := rate * max(1, p.model.maxDemandShare())
	at := -p.model.warmup()
	for n := 0; ; n++ {
		at += time.Duration(random.ExpFloat64() / maxRate * float64(time.Second))
		if at >= p.model.length {
			return
		}
		if random.Float64() >= rate*load(at)/maxRate {
			continue
		}
		p.arrivals = append(p.arrivals, p.drawArrival(random, region, kind, at, n))
	}
}

// randomStream returns the PCG stream of one kind of request in one region. Arrivals of
// different kinds and regions are independent of each other.
func randomStream(region int, kind requestKind) uint64 {
	return uint64(region*10 + slices.Index([]requestKind{question, draft, order, stock}, kind))
}

func (p *plan) drawArrival(random *rand.Rand, region int, kind requestKind, at time.Duration, index int) arrival {
	request := arrival{
		offset: at, region: region, customer: random.IntN(customersPerRegion), kind: kind,
		serial: fmt.Sprintf("%d-%s-%s-%d", p.seed, p.regions[region], kind, index),
	}
	if random.Float64() < homeShare {
		request.home = p.drawHome(random, p.regions[region])
	}
	switch kind {
	case question:
		length := drawTokens(random, questionTokens)
		request.tokenLimit = questionTokenLimit
		request.answerTokens = min(length, int(questionTokenLimit))
		request.prompt = []fakes.Message{{Role: "user", Content: questionText(request.serial, length)}}
	case draft:
		request.answerTokens = min(drawTokens(random, draftTokens), p.model.maxDraftTokens(at))
		request.sharedWords = sharedPromptWords
		request.prompt = p.draftPrompt(random, &request)
	}
	for _, m := range request.prompt {
		request.promptWords += len(strings.Fields(m.Content))
	}
	request.promptHash = fakes.HashPrompt(request.prompt)
	return request
}

// drawHome draws one of the homes that contain a region, or "" if there is none.
func (p *plan) drawHome(random *rand.Rand, region ident.Region) ident.Home {
	var names []ident.Home
	for _, h := range p.homes {
		if slices.Contains(h.Regions, region) {
			names = append(names, h.Name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return names[random.IntN(len(names))]
}

// allowedRegions returns the regions in which a request may be served.
func (p *plan) allowedRegions(request *arrival) []ident.Region {
	for _, h := range p.homes {
		if h.Name == request.home {
			return h.Regions
		}
	}
	return p.regions
}

func drawTokens(random *rand.Rand, lengths tokenRange) int {
	tokens := lengths.minimum + random.IntN(lengths.maximum-lengths.minimum+1)
	if random.Float64() < stragglerShare {
		return stragglerFactor * tokens
	}
	return tokens
}

func questionText(serial string, length int) string {
	return fmt.Sprintf("%s which width of rail does a window of two metres need [len=%d]", serial, length)
}

// draftPrompt returns the customer's shared prompt followed by a text unique to the draft.
func (p *plan) draftPrompt(random *rand.Rand, request *arrival) []fakes.Message {
	shared := p.sharedPrompts[request.region*customersPerRegion+request.customer]
	own := fmt.Sprintf("%s %s [len=%d]", request.serial, randomWords(random, ownDraftWords-2), request.answerTokens)
	return []fakes.Message{{Role: "system", Content: shared}, {Role: "user", Content: own}}
}

// sharedPrompt returns the shared prompt of a customer. It depends only on the seed, the
// region and the customer.
func (p *plan) sharedPrompt(region, customer int) string {
	const firstStream = 1000 // above the streams of randomStream
	random := rand.New(rand.NewPCG(p.seed, uint64(firstStream+region*customersPerRegion+customer)))
	return randomWords(random, sharedPromptWords)
}

// randomWords returns count words of five random letters.
func randomWords(random *rand.Rand, count int) string {
	var text strings.Builder
	for i := range count {
		if i > 0 {
			text.WriteByte(' ')
		}
		for range 5 {
			text.WriteByte('a' + byte(random.IntN(26)))
		}
	}
	return text.String()
}
