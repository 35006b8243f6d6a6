package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/queue"
	"github.com/tanagerbridge/tanagerbridge/route"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

// tick is the resolution of the simulation.
const tick = 20 * clock.Millisecond

// simulation runs one entry with one region of endpoints whose speed the test sets.
type simulation struct {
	now      clock.Time
	fleet    *fleet.Fleet
	queue    *queue.Queue
	policy   route.Policy
	random   *rand.Rand
	rate     float64 // arrivals per second
	slowdown map[ident.Endpoint]float64
	attempts []simAttempt
	sent     map[ident.Endpoint]int
	arrived  int
}

// simAttempt is one attempt with the times of its first and last token.
type simAttempt struct {
	request     ident.Request
	first, last clock.Time
	started     bool
	tokens      ident.Tokens
}

func newSimulation(count int, rate float64, seed uint64) *simulation {
	sim := &simulation{
		now: 1000, fleet: fleet.New(fleet.Config{Region: "a", Seed: seed}), queue: queue.New(queue.Config{}),
		random: rand.New(rand.NewPCG(seed, 9)), rate: rate, slowdown: map[ident.Endpoint]float64{}, sent: map[ident.Endpoint]int{},
	}
	sim.policy, _ = route.New(route.Tanager, seed)
	var list []watch.Instance
	for i := range count {
		list = append(list, watch.Instance{
			Name: fmt.Sprint("a", i), Role: watch.RoleEndpoint, Region: "a", State: watch.StateLive,
			Address: fmt.Sprint("127.0.0.1:", i), Service: service, Slots: 4,
		})
	}
	sim.fleet.Sync(sim.now, list)
	return sim
}

func (s *simulation) Region() ident.Region { return "a" }
func (s *simulation) Candidates(service ident.Service, region ident.Region) []fleet.Candidate {
	return s.fleet.Candidates(s.now, service, region)
}

func (s *simulation) RemoteLoad(ident.Service, ident.Region) (gossip.Load, bool) {
	return gossip.Load{}, false
}
func (s *simulation) LinkAllows(ident.Region, ident.Bytes) bool { return false }
func (s *simulation) Weights() bundle.Weights                   { return bundle.Weights{Away: 1} }

func (s *simulation) ClassShare(class ident.Class) float64 { return (&fixedView{}).ClassShare(class) }

func (s *simulation) QueueLength(service ident.Service) int { return s.queue.Waiting(service) }

// run advances the simulation and returns each endpoint's share of the work sent.
func (s *simulation) run(duration clock.Span) map[ident.Endpoint]float64 {
	clear(s.sent)
	for end := s.now.Add(duration); s.now < end; s.now = s.now.Add(tick) {
		s.progress()
		if s.random.Float64() < s.rate*float64(tick)/1000 {
			s.arrive()
		}
		s.queue.Walk(s.now, service, s.dispatch)
	}
	total := 0
	for _, n := range s.sent {
		total += n
	}
	shares := map[ident.Endpoint]float64{}
	for e, n := range s.sent {
		shares[e] = float64(n) / float64(total)
	}
	return shares
}

// arrive adds a request: 1 in 5 is long, and 1 in 50 of those is a straggler.
func (s *simulation) arrive() {
	s.arrived++
	item := queue.Item{
		Request: ident.Request(fmt.Sprint(s.arrived)), Service: service, Class: "short",
		Arrived: s.now, Deadline: s.now.Add(20_000), SlotTime: clock.Span(500 + s.random.IntN(1000)),
	}
	if s.random.IntN(5) == 0 {
		item.Class, item.Urgency, item.SlotTime = "long", 1, clock.Span(2000+s.random.IntN(4000))
	}
	_, _ = s.queue.Push(s.now, item)
}

// dispatch is the callback of queue.Walk.
func (s *simulation) dispatch(item queue.Item) bool {
	choice, ok := s.policy.Choose(s.now, route.Request{
		Request: item.Request, Service: service, Class: item.Class, Urgency: item.Urgency, Long: item.Urgency > 0, ExpectedDuration: item.SlotTime,
		Regions: []ident.Region{"a"}, Waited: s.now.Sub(item.Arrived),
	}, s)
	if !ok {
		return false
	}
	s.sent[choice.Endpoint]++
	s.fleet.Begin(s.now, fleet.Attempt{
		Request: item.Request, Number: 1, Endpoint: choice.Endpoint, Service: service, Class: item.Class, Urgency: item.Urgency, Long: item.Urgency > 0, ExpectedDuration: item.SlotTime,
	})
	slowdown := max(1, s.slowdown[choice.Endpoint])
	size := float64(item.SlotTime) * (0.5 + s.random.Float64())
	if item.Urgency > 0 && s.random.IntN(50) == 0 {
		size *= 8
	}
	first := (60 + 0.05*size) * (0.6 + 0.8*s.random.Float64())
	s.attempts = append(s.attempts, simAttempt{
		request: item.Request, first: s.now.Add(clock.Span(slowdown * first)), last: s.now.Add(clock.Span(slowdown * (first + size))),
		tokens: ident.Tokens(size / 20),
	})
	return true
}

// progress reports the first and last tokens that are due.
func (s *simulation) progress() {
	kept := s.attempts[:0]
	for _, f := range s.attempts {
		if !f.started && f.first <= s.now {
			s.fleet.RecordFirstToken(s.now, f.request, 1)
			f.started = true
		}
		if f.last <= s.now {
			s.fleet.End(s.now, f.request, 1, fleet.Complete, f.tokens)
			continue
		}
		kept = append(kept, f)
	}
	s.attempts = kept
}

// Guards against a slow endpoint that receives more than probes, healthy endpoints marked
// as slow, and slow ones that do not recover.
func TestSlowedEndpointGetsOnlyProbes(t *testing.T) {
	for seed := range uint64(10) {
		sim := newSimulation(6, 7, seed)
		sim.run(20_000)
		for _, x := range sim.run(60_000) {
			require.Greater(t, x, 0.08, "seed %d: a healthy endpoint lost its share of work", seed)
		}
		sim.slowdown["a2"] = 5
		detect := sim.run(5_000)["a2"]
		during := sim.run(60_000)["a2"]
		sim.slowdown["a2"] = 1
		sim.run(40_000) // a probe is due after 200 attempts, which takes about 30 s
		after := sim.run(30_000)["a2"]
		t.Logf("seed %d: first 5 s %.3f, next 60 s %.3f, after %.3f", seed, detect, during, after)
		require.LessOrEqual(t, during, 0.03, "seed %d", seed)
		require.Greater(t, after, 0.08, "seed %d", seed)
	}
}
