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
	// faultDuration is the time of fault injection in one run.
	faultDuration = 8 * time.Second
	// callerCount is the number of concurrent callers.
	callerCount = 6
)

// chaosRun is a run with random faults and load through the client library.
type chaosRun struct {
	*cluster
	random     *rand.Rand
	entryNames []string

	mu              sync.Mutex
	reports         []orderReport
	completeAnswers int
}

// orderReport is the result that a caller received for one order.
type orderReport struct {
	id    string
	state caller.State
}

// Guards against violations of the guarantees under random faults: entries are killed,
// replaced and stopped, regions are isolated, services drop and mix up answers, engines
// crash, and bundles are published concurrently.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) { runChaos(t, seed+1) })
	}
}

func runChaos(t *testing.T, seed uint64) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	base, err := newCluster(ctx, "kgosi", seed, 100*time.Millisecond)
	require.NoError(t, err)
	run := &chaosRun{cluster: base, random: rand.New(rand.NewPCG(seed, seed)), entryNames: []string{"a1", "a2", "b1", "c1"}}
	defer run.close()
	for i, region := range []string{"gauteng", "gauteng", "western-cape", "kzn"} {
		require.NoError(t, startEntry(base, []string{run.entryNames[i], region}))
	}
	require.NoError(t, awaitMembers(base, run.entryNames))

	load, stop := context.WithTimeout(ctx, faultDuration)
	defer stop()
	var callers sync.WaitGroup
	for i := range callerCount {
		callers.Go(func() { run.sendLoad(load, i, seed) })
	}
	run.injectFaults(load, t)
	callers.Wait()
	run.verify(t)
}

// sendLoad sends orders and prompts until the load ends. Pairs of callers share a seed
// and therefore use the same request ids, which must not mix up their answers.
func (r *chaosRun) sendLoad(load context.Context, number int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	for n := 0; load.Err() == nil; n++ {
		name := r.entryNames[random.IntN(len(r.entryNames))]
		r.cluster.mu.Lock()
		address := r.processes[name].addresses.Caller
		r.cluster.mu.Unlock()
		id := fmt.Sprintf("%d-%d", number, n)
		if random.IntN(2) == 0 {
			r.callOrder(address, id, seed+uint64(number%3))
		} else {
			r.callPrompt(address, id, seed+uint64(number%3), random.IntN(60)+5)
		}
	}
}

func (r *chaosRun) callOrder(address, id string, seed uint64) {
	client, err := caller.New(caller.Config{Entries: []string{address}, Service: r.deployment.PlainService(), Seed: seed, MaxAttempts: 3, ResponseTimeout: 3000})
	if err != nil {
		return
	}
	outcome, _ := client.Call(r.ctx, http.MethodPost, "/orders", []byte(`{"order":"`+id+`"}`))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports = append(r.reports, orderReport{id: id, state: outcome.State})
}

func (r *chaosRun) callPrompt(address, id string, seed uint64, tokens int) {
	client, err := caller.New(caller.Config{Entries: []string{address}, Service: r.deployment.EngineService(), Seed: seed, MaxAttempts: 2, ResponseTimeout: 3000})
	if err != nil {
		return
	}
	prompt := caller.Prompt{Messages: []caller.Message{{Role: "user", Content: "prompt " + id}}, MaxTokens: ident.Tokens(tokens)}
	var got strings.Builder
	_, err = client.Complete(r.ctx, prompt, caller.Sink{
		OnToken: func(text string) { got.WriteString(text) }, OnRestart: func(error) { got.Reset() },
	})
	if err != nil {
		return
	}
	r.mu.Lock()
	r.completeAnswers++
	r.mu.Unlock()
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	r.answers = append(r.answers, receivedAnswer{prompt: prompt, got: got.String()})
}

// injectFaults injects random faults sequentially until the load ends, and reverts them.
func (r *chaosRun) injectFaults(load context.Context, t *testing.T) {
	t.Helper()
	version := uint64(1)
	for load.Err() == nil {
		name := r.entryNames[r.random.IntN(len(r.entryNames))]
		switch r.random.IntN(7) {
		case 0:
			proc := r.processes[name]
			proc.signal(syscall.SIGKILL)
			<-proc.exited
			require.NoError(t, r.startProcess(name, proc.region))
		case 1:
			r.processes[name].signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(500+r.random.IntN(2500)) * time.Millisecond)
			r.processes[name].signal(syscall.SIGCONT)
		case 2:
			r.deployment.Partition(r.processes[name].region)
			time.Sleep(time.Second)
			r.deployment.Heal()
		case 3:
			_ = injectFault(r.cluster, []string{[]string{"before", "after", "cross", "refuse"}[r.random.IntN(4)]})
		case 4:
			engine := r.deployment.Engines[r.random.IntN(len(r.deployment.Engines))]
			engine.Crash()
			time.Sleep(200 * time.Millisecond)
			_ = engine.Restart()
		case 5:
			engine := r.deployment.Engines[r.random.IntN(len(r.deployment.Engines))]
			engine.InjectFaults(fakes.EngineFaults{WrongRequest: 1, Truncate: 1, Abort: 1, Repeat: 1})
		case 6:
			version++
			_ = publishBundle(r.cluster, []string{fmt.Sprint(version)})
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.deployment.Heal()
}

// verify fails the test for each violation.
func (r *chaosRun) verify(t *testing.T) {
	t.Helper()
	require.NoError(t, r.checkGuarantees())
	placed := make(map[string]int)
	for _, c := range fakes.CountPlacedOrders(r.deployment.Services...) {
		placed[c.Key] = c.Count
	}
	done := 0
	for _, o := range r.reports {
		switch {
		case placed[o.id] > 1:
			t.Errorf("order %s was placed %d times", o.id, placed[o.id])
		case o.state == caller.NotRun && placed[o.id] > 0:
			t.Errorf("order %s was reported as not run but was placed", o.id)
		case o.state == caller.Done && placed[o.id] != 1:
			t.Errorf("order %s was reported as done but was placed %d times", o.id, placed[o.id])
		case o.state == caller.Done:
			done++
		}
	}
	require.Positive(t, done, "no order was placed")
	require.Positive(t, r.completeAnswers, "no prompt was completed")
	t.Logf("orders %d, done %d, complete answers %d", len(r.reports), done, r.completeAnswers)
}
