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

// work is a kind of request.
type work string

const (
	question work = "question"
	draft    work = "draft"
	order    work = "order"
	stock    work = "stock"
)

// questionWords is the length of a question, less than one block of the engines'
// caches, so that questions share nothing.
const questionWords = 13

// arrival is one request that a caller is going to send.
type arrival struct {
	// at is from the measured start; it is negative during the warm-up.
	at       time.Duration
	region   int
	customer int
	home     ident.Home
	work     work
	// serial tells the requests of a run apart.
	serial string
	// tokens is the length of the answer and words that of the prompt; shared is
	// the part of words that all drafts of the customer begin with.
	tokens, words, shared int
	prompt                []fakes.Message
	limit                 ident.Tokens
	hash                  uint64
}

// measured reports whether the arrival counts.
func (a *arrival) measured() bool { return a.at >= 0 }

// completion reports whether the arrival goes to an engine.
func (a *arrival) completion() bool { return a.work == question || a.work == draft }

// class returns the class that the bundle gives a completion.
func (a *arrival) class() ident.Class {
	if a.work == draft {
		return stage.Long
	}
	return stage.Short
}

// plan draws the arrivals of one run. They depend on the seed, the deployment and
// the load of the case, not on the policy.
type plan struct {
	model    *model
	seed     uint64
	regions  []ident.Region
	homes    []bundle.Home
	arrivals []arrival
	// texts holds the shared text of each customer, region by region.
	texts []string
}

// newPlan returns the arrivals in order of time.
//
// One in 50 completions is a straggler of 20 times the length, as far as it fits: a
// straggling draft ends at about the end of the run, or takes a quarter of the run
// if it begins late, and a straggling question ends at its class's limit of 256
// tokens. Stragglers carry the same limits as others, none for drafts and 256 for
// questions, so that nothing but the length marker, which only engines read, tells
// them apart.
func newPlan(m *model, seed uint64, regions []ident.Region, homes []bundle.Home) *plan {
	p := &plan{model: m, seed: seed, regions: regions, homes: homes}
	questions, drafts := m.rates()
	for i := range regions {
		for c := range customers {
			p.texts = append(p.texts, p.customerText(i, c))
		}
		load := func(at time.Duration) float64 { return m.load(i, at) }
		p.stream(i, question, questions, load)
		p.stream(i, draft, drafts, load)
		p.stream(i, order, plainRate, constant)
		p.stream(i, stock, plainRate, constant)
	}
	slices.SortStableFunc(p.arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	return p
}

func constant(time.Duration) float64 { return 1 }

// stream adds a Poisson process whose rate, in requests a second, is that at load 1
// times the load.
func (p *plan) stream(region int, w work, rate float64, load func(time.Duration) float64) {
	random := rand.New(rand.NewPCG(p.seed, streamOf(region, w)))
	top := rate * max(1, p.model.highest())
	at := -p.model.warm()
	for n := 0; ; n++ {
		at += time.Duration(random.ExpFloat64() / top * float64(time.Second))
		if at >= p.model.length {
			return
		}
		if random.Float64() >= rate*load(at)/top {
			continue
		}
		p.arrivals = append(p.arrivals, p.draw(random, region, w, at, n))
	}
}

// streamOf numbers the random source of one kind of request in one region.
func streamOf(region int, w work) uint64 {
	return uint64(region*10 + slices.Index([]work{question, draft, order, stock}, w))
}

func (p *plan) draw(random *rand.Rand, region int, w work, at time.Duration, n int) arrival {
	a := arrival{
		at: at, region: region, customer: random.IntN(customers), work: w,
		serial: fmt.Sprintf("%d-%s-%s-%d", p.seed, p.regions[region], w, n),
	}
	if random.Float64() < boundShare {
		a.home = p.home(random, p.regions[region])
	}
	switch w {
	case question:
		length := tokensOf(random, questionTokens)
		a.limit = shortLimit
		a.tokens = min(length, int(shortLimit))
		a.prompt = []fakes.Message{{Role: "user", Content: questionText(a.serial, length)}}
	case draft:
		a.tokens = min(tokensOf(random, draftTokens), p.model.longestDraft(at))
		a.shared = prefixWords
		a.prompt = p.draftPrompt(random, &a)
	}
	for _, m := range a.prompt {
		a.words += len(strings.Fields(m.Content))
	}
	a.hash = fakes.HashPrompt(a.prompt)
	return a
}

// home draws one of the homes that a region belongs to.
func (p *plan) home(random *rand.Rand, r ident.Region) ident.Home {
	var own []ident.Home
	for _, h := range p.homes {
		if slices.Contains(h.Regions, r) {
			own = append(own, h.Name)
		}
	}
	if len(own) == 0 {
		return ""
	}
	return own[random.IntN(len(own))]
}

// allowed returns the regions in which an arrival may be served.
func (p *plan) allowed(a *arrival) []ident.Region {
	for _, h := range p.homes {
		if h.Name == a.home {
			return h.Regions
		}
	}
	return p.regions
}

func tokensOf(random *rand.Rand, s span) int {
	n := s.least + random.IntN(s.most-s.least+1)
	if random.Float64() < stragglerShare {
		return stragglerFactor * n
	}
	return n
}

func questionText(serial string, length int) string {
	return fmt.Sprintf("%s which width of rail does a window of two metres need [len=%d]", serial, length)
}

// draftPrompt is a text that the customer's drafts share, and one of its own.
func (p *plan) draftPrompt(random *rand.Rand, a *arrival) []fakes.Message {
	shared := p.texts[a.region*customers+a.customer]
	own := fmt.Sprintf("%s %s [len=%d]", a.serial, words(random, draftWords-2), a.tokens)
	return []fakes.Message{{Role: "system", Content: shared}, {Role: "user", Content: own}}
}

// customerText depends on the seed, the region and the customer only.
func (p *plan) customerText(region, customer int) string {
	const apart = 1000 // above the numbers of streamOf
	random := rand.New(rand.NewPCG(p.seed, uint64(apart+region*customers+customer)))
	return words(random, prefixWords)
}

// words returns n random words.
func words(random *rand.Rand, n int) string {
	var b strings.Builder
	for i := range n {
		if i > 0 {
			b.WriteByte(' ')
		}
		for range 5 {
			b.WriteByte('a' + byte(random.IntN(26)))
		}
	}
	return b.String()
}
