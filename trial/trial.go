// Package trial benchmarks the production code under load and faults. It runs a complete
// deployment in this process, with HTTP over loopback, callers that use the client
// library, and fake endpoints. It is not a simulator; its figures compare policies on
// one machine and are not absolute times.
package trial

import (
	"context"
	"runtime"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/config"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/stage"
)

// Kind classifies an Error.
type Kind string

// Kinds of error.
const (
	// KindInvalid means that a setting has an invalid value; the error's operation is
	// the name of the flag.
	KindInvalid Kind = "invalid"
	// KindRun means that a trial could not be run.
	KindRun Kind = "run"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Case is the load and fault scenario of a trial.
type Case string

// Cases.
const (
	// CaseSteady has daily peaks at a different hour in each region and no faults.
	CaseSteady Case = "steady"
	// CasePeak loads one region with 1.5 times its capacity for the middle half of the run.
	CasePeak Case = "peak"
	// CaseSlowed slows two engines in different regions after a quarter of the run.
	CaseSlowed Case = "slowed"
	// CaseCutoff isolates a region in the middle third of the run.
	CaseCutoff Case = "cutoff"
	// CaseLost crashes a third of a region's engines after a third of the run and restarts
	// them, with cold caches, after two thirds.
	CaseLost Case = "lost"
	// CaseCrasher sends a request that crashes engines several times.
	CaseCrasher Case = "crasher"
	// CasePaused stops one entry for 5 s or half of the run, whichever is shorter.
	CasePaused Case = "paused"
)

// Cases returns all cases in table order.
func Cases() []Case {
	return []Case{CaseSteady, CasePeak, CaseSlowed, CaseCutoff, CaseLost, CaseCrasher, CasePaused}
}

// Policies returns the policies that can be compared.
func Policies() []string { return slices.Clone(config.Policies) }

// Deployments returns the names of the deployments.
func Deployments() []string { return []string{stage.Kgosi, stage.Skovbro} }

// Config configures one trial.
type Config struct {
	Deployment string
	Case       Case
	Policy     string
	// Seed determines the arrivals, prompts and answers; timings still vary between runs.
	Seed uint64
	// Duration is the measured time of load. The warm-up precedes it, and requests in
	// progress finish after it.
	Duration time.Duration
	// Log receives the logs of the entries in this process; nil discards them.
	Log *zap.Logger
	// OnViolation is called with the description of each violation; it may be nil.
	OnViolation func(text string)
}

const (
	// minDuration and maxDuration bound Config.Duration. Runs below 1 s complete no requests.
	minDuration = time.Second
	maxDuration = 10 * time.Minute
	// settleTime lets background work on the machine finish before a run.
	settleTime = 500 * time.Millisecond
	// startTimeout bounds the start of a deployment.
	startTimeout = 20 * time.Second
)

// Check validates the settings. It returns an *Error of KindInvalid that names the flag
// of the first invalid one.
func (c *Config) Check() error {
	if err := oneOf("--deployment", c.Deployment, Deployments()); err != nil {
		return err
	}
	if err := oneOf("--case", c.Case, Cases()); err != nil {
		return err
	}
	if err := oneOf("--policy", c.Policy, Policies()); err != nil {
		return err
	}
	if c.Duration < minDuration || c.Duration > maxDuration {
		return fault.Newf("--for", KindInvalid, "%s is not between %s and %s", c.Duration, minDuration, maxDuration)
	}
	return nil
}

func oneOf[T ~string](flag string, value T, allowed []T) error {
	if slices.Contains(allowed, value) {
		return nil
	}
	names := make([]string, 0, len(allowed))
	for _, a := range allowed {
		names = append(names, string(a))
	}
	return fault.Newf(flag, KindInvalid, "%q is none of %s", value, strings.Join(names, ", "))
}

// Run runs one trial. Errors are of KindInvalid or KindRun.
func Run(ctx context.Context, cfg Config) (Result, error) {
	x, err := execute(ctx, cfg)
	if err != nil {
		return Result{}, err
	}
	return x.result(), nil
}

// execute runs one trial to its end and returns the collected data.
func execute(ctx context.Context, cfg Config) (*run, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	runtime.GC()
	time.Sleep(settleTime)
	x, err := startRun(ctx, cfg)
	if err != nil {
		return nil, err
	}
	defer x.close()
	if err := x.measure(ctx); err != nil {
		return nil, err
	}
	return x, nil
}
