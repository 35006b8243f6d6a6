package trial

import (
	"context"
	"sync"
	"time"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fakes"
)

const (
	// crashMarker is the text that makes engines crash in CaseCrasher.
	crashMarker = "[crash]"
	// crashSends is the number of sends of the crashing request, each with a new id.
	crashSends = 5
	// isolationGrace is the time after the start of a partition in which the requests
	// of its region are not checked, while the entries detect the loss of their peers.
	isolationGrace = 1500 * time.Millisecond
)

// reportLag returns the age of load reports before time compression.
func reportLag(scenario Case) clock.Span {
	if scenario == CaseSlowed {
		return 2 * clock.Second
	}
	return clock.Second
}

// faultStep is an action at a fraction of the run.
type faultStep struct {
	fraction float64
	run      func(context.Context) error
}

// faultSteps returns the actions of the run's case in order of time.
func (x *run) faultSteps() []faultStep {
	steps := []faultStep{{0, x.readBaseline}}
	switch x.cfg.Case {
	case CaseSlowed:
		steps = append(steps, faultStep{0.25, x.slowEngines})
	case CaseCutoff:
		steps = append(steps, faultStep{1.0 / 3, x.isolateRegion})
	case CaseLost:
		steps = append(steps, faultStep{1.0 / 3, x.crashEngines})
	case CasePaused:
		steps = append(steps, faultStep{0.25, x.pauseEntry})
	case CaseCrasher:
		for i := range crashSends {
			steps = append(steps, faultStep{float64(i+1) / (crashSends + 2), x.sendCrashRequest})
		}
	}
	steps = append(steps, faultStep{0.5, x.publishVersion})
	switch x.cfg.Case {
	case CaseCutoff:
		steps = append(steps, faultStep{2.0 / 3, x.healLinks})
	case CaseLost:
		steps = append(steps, faultStep{2.0 / 3, x.restartEngines})
	}
	return steps
}

// startFaults runs the steps in the background. The returned function waits for all of
// them and returns the first error.
func (x *run) startFaults(ctx context.Context, start time.Time) func() error {
	var all sync.WaitGroup
	var mu sync.Mutex
	var first error
	for _, s := range x.faultSteps() {
		all.Go(func() {
			at := start.Add(time.Duration(s.fraction * float64(x.cfg.Duration)))
			err := sleepContext(ctx, time.Until(at))
			if err == nil {
				err = s.run(ctx)
			}
			mu.Lock()
			defer mu.Unlock()
			if first == nil {
				first = err
			}
		})
	}
	return func() error {
		all.Wait()
		return first
	}
}

func (x *run) readBaseline(ctx context.Context) error {
	x.baseline = x.readCounters(ctx)
	return nil
}

func (x *run) slowEngines(context.Context) error {
	for _, r := range slowedRegions {
		x.deployment.EnginesIn(x.plan.regions[r])[0].SetSlowdown(slowFactor)
	}
	return nil
}

func (x *run) isolateRegion(context.Context) error {
	x.deployment.Partition(x.plan.regions[isolatedRegion])
	return nil
}

func (x *run) healLinks(context.Context) error {
	x.deployment.Heal()
	x.checks.restartDeadline(time.Now())
	return nil
}

// enginesToCrash returns the engines that CaseLost crashes.
func (x *run) enginesToCrash() []*fakes.Engine {
	return x.deployment.EnginesIn(x.plan.regions[crashRegion])[:x.model.crashedEngines()]
}

func (x *run) crashEngines(context.Context) error {
	for _, e := range x.enginesToCrash() {
		e.Crash()
	}
	return nil
}

func (x *run) restartEngines(context.Context) error {
	for _, e := range x.enginesToCrash() {
		if err := e.Restart(); err != nil {
			return err
		}
	}
	return nil
}

// sendCrashRequest sends the crashing request from the first region.
func (x *run) sendCrashRequest(ctx context.Context) error {
	for _, e := range x.deployment.Engines {
		e.SetCrashMarker(crashMarker)
	}
	request := x.crashArrival()
	outcome := &outcome{arrival: &request, sentAt: x.generator.clock.Now()}
	x.generator.sendCompletion(ctx, outcome)
	x.generator.mu.Lock()
	defer x.generator.mu.Unlock()
	x.crashOutcomes = append(x.crashOutcomes, outcome)
	return nil
}

// crashArrival returns the request that crashes engines; each call returns the same.
func (x *run) crashArrival() arrival {
	prompt := []fakes.Message{{Role: "user", Content: crashMarker + " a question that crashes engines [len=20]"}}
	request := arrival{kind: question, answerTokens: 20, tokenLimit: questionTokenLimit, prompt: prompt, promptHash: fakes.HashPrompt(prompt)}
	for i := range x.plan.arrivals {
		other := &x.plan.arrivals[i]
		if other.kind == question && other.region == 0 && other.home == "" {
			request.customer = other.customer // a customer that has a client
			break
		}
	}
	return request
}
