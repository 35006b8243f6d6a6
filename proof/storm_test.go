package proof_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/fakes"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// stormTime is how long faults are brought about in one run.
	stormTime = 8 * time.Second
	// stormCallers is the number of callers that send at the same time.
	stormCallers = 6
)

// storm is a run with random faults under load through the client library.
type storm struct {
	*scene
	random *rand.Rand
	names  []string

	mu    sync.Mutex
	told  []telling
	whole int
}

// telling is what a caller was told about one order.
type telling struct {
	id    string
	state caller.State
}

// Guards against any violation of the guarantees under random faults: entries that
// are killed, replaced and stopped, regions that are cut off, services that drop
// and cross answers, engines that crash, and bundles that are published meanwhile.
func TestStorm(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) { runStorm(t, seed+1) })
	}
}

func runStorm(t *testing.T, seed uint64) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	base, err := newScene(ctx, "kgosi", seed, 100*time.Millisecond)
	require.NoError(t, err)
	s := &storm{scene: base, random: rand.New(rand.NewPCG(seed, seed)), names: []string{"a1", "a2", "b1", "c1"}}
	defer s.close()
	for i, region := range []string{"gauteng", "gauteng", "western-cape", "kzn"} {
		require.NoError(t, startEntry(base, []string{s.names[i], region}))
	}
	require.NoError(t, meet(base, s.names))

	load, stop := context.WithTimeout(ctx, stormTime)
	defer stop()
	var callers sync.WaitGroup
	for i := range stormCallers {
		callers.Go(func() { s.call(load, i, seed) })
	}
	s.faults(load, t)
	callers.Wait()
	s.verify(t)
}

// call sends orders and prompts until the load ends. Two callers at a time share a
// seed and so choose the same request ids, which must not mix their answers.
func (s *storm) call(load context.Context, number int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	for n := 0; load.Err() == nil; n++ {
		name := s.names[random.IntN(len(s.names))]
		s.scene.mu.Lock()
		address := s.processes[name].address.Caller
		s.scene.mu.Unlock()
		id := fmt.Sprintf("%d-%d", number, n)
		if random.IntN(2) == 0 {
			s.order(address, id, seed+uint64(number%3))
		} else {
			s.prompt(address, id, seed+uint64(number%3), random.IntN(60)+5)
		}
	}
}

func (s *storm) order(address, id string, seed uint64) {
	c, err := caller.New(caller.Config{Entries: []string{address}, Service: s.stage.PlainService(), Seed: seed, Attempts: 3, Wait: 3000})
	if err != nil {
		return
	}
	outcome, _ := c.Call(s.ctx, http.MethodPost, "/orders", []byte(`{"order":"`+id+`"}`))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = append(s.told, telling{id: id, state: outcome.State})
}

func (s *storm) prompt(address, id string, seed uint64, tokens int) {
	c, err := caller.New(caller.Config{Entries: []string{address}, Service: s.stage.EngineService(), Seed: seed, Attempts: 2, Wait: 3000})
	if err != nil {
		return
	}
	p := caller.Prompt{Messages: []caller.Message{{Role: "user", Content: "prompt " + id}}, Tokens: ident.Tokens(tokens)}
	var got strings.Builder
	_, err = c.Complete(s.ctx, p, caller.Sink{
		Token: func(text string) { got.WriteString(text) }, Restart: func(error) { got.Reset() },
	})
	if err != nil {
		return
	}
	s.mu.Lock()
	s.whole++
	s.mu.Unlock()
	s.scene.mu.Lock()
	defer s.scene.mu.Unlock()
	s.prompts = append(s.prompts, promise{prompt: p, got: got.String()})
}

// faults brings about one random fault after the other, and ends what it began.
func (s *storm) faults(load context.Context, t *testing.T) {
	t.Helper()
	version := uint64(1)
	for load.Err() == nil {
		name := s.names[s.random.IntN(len(s.names))]
		switch s.random.IntN(7) {
		case 0:
			p := s.processes[name]
			p.signal(syscall.SIGKILL)
			<-p.done
			require.NoError(t, s.launch(name, p.region))
		case 1:
			s.processes[name].signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(500+s.random.IntN(2500)) * time.Millisecond)
			s.processes[name].signal(syscall.SIGCONT)
		case 2:
			s.stage.Cut(s.processes[name].region)
			time.Sleep(time.Second)
			s.stage.Heal()
		case 3:
			_ = spoil(s.scene, []string{[]string{"before", "after", "cross", "refuse"}[s.random.IntN(4)]})
		case 4:
			e := s.stage.Engines[s.random.IntN(len(s.stage.Engines))]
			e.Crash()
			time.Sleep(200 * time.Millisecond)
			_ = e.Restart()
		case 5:
			e := s.stage.Engines[s.random.IntN(len(s.stage.Engines))]
			e.Spoil(fakes.EngineFaults{Cross: 1, Truncate: 1, Break: 1, Repeat: 1})
		case 6:
			version++
			_ = publish(s.scene, []string{fmt.Sprint(version)})
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.stage.Heal()
}

// verify counts violations; the bound is zero.
func (s *storm) verify(t *testing.T) {
	t.Helper()
	require.NoError(t, s.check())
	placed := make(map[string]int)
	for _, c := range fakes.Orders(s.stage.Services...) {
		placed[c.Key] = c.Count
	}
	done := 0
	for _, o := range s.told {
		switch {
		case placed[o.id] > 1:
			t.Errorf("order %s was placed %d times", o.id, placed[o.id])
		case o.state == caller.NotRun && placed[o.id] > 0:
			t.Errorf("order %s was told not run and was placed", o.id)
		case o.state == caller.Done && placed[o.id] != 1:
			t.Errorf("order %s was told done and was placed %d times", o.id, placed[o.id])
		case o.state == caller.Done:
			done++
		}
	}
	require.Positive(t, done, "no order was placed")
	require.Positive(t, s.whole, "no prompt was answered")
	t.Logf("orders %d, done %d, whole answers %d", len(s.told), done, s.whole)
}
