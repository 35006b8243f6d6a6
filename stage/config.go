// Package stage runs a complete deployment in one process over loopback: entries,
// endpoints, the platform, and the links between regions with simulated delay and
// bandwidth.
package stage

import (
	"cmp"
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Kind classifies an Error.
type Kind string

// Kinds of error.
const (
	// KindConfig means that the configuration has an unknown name.
	KindConfig Kind = "config"
	// KindStart means that a part of the deployment could not be started.
	KindStart Kind = "start"
	// KindUnknown means that the deployment has no instance of the given name, or none that
	// supports the call.
	KindUnknown Kind = "unknown"
	// KindTimeout means that an entry did not answer or become ready in time.
	KindTimeout Kind = "timeout"
	// KindBundle means that a bundle could not be signed or published.
	KindBundle Kind = "bundle"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Names of the deployments.
const (
	Kgosi   = "kgosi"
	Skovbro = "skovbro"
)

// Config configures a Deployment. Zero values are replaced by defaults.
type Config struct {
	// Deployment is Kgosi or Skovbro.
	Deployment string
	// Entries is the number of entry instances; the default is 4. They are assigned to the
	// regions in turn, starting with the first.
	Entries int
	// Seed makes the entries' random choices and the fleet and ticket keys repeatable; the
	// default is 1.
	Seed uint64
	// Policy is the routing policy of the entries; the default is "tanager".
	Policy string
	// Speedup divides the simulated times: those of engines, links and the bundle's targets.
	// The timers of the entries are not affected. The default is 1.
	Speedup float64
	// Engines overrides the deployment's number of engines if it is positive.
	Engines int
	// Slots is the number of requests that an engine runs concurrently; the default is 8.
	Slots int
	// TokenInterval is the time between tokens, before division by Speedup; the default is 30 ms.
	TokenInterval time.Duration
	// PrefillPerToken is the processing time per uncached prompt token, before division by Speedup;
	// the default is 250 µs.
	PrefillPerToken time.Duration
	// ReportLag is the age of the counts in load reports, before division by Speedup; the default is
	// 1 s.
	ReportLag clock.Span
	// ListLag is the age of the instance list that clients of the platform get; the default
	// is 30 s.
	ListLag clock.Span
	// RestartDelay is the delay before an engine restarts after a crash caused by a request; the
	// default is 1 s.
	RestartDelay clock.Span
	// IgnorePriority makes the engines ignore request priorities.
	IgnorePriority bool
	// ModelLoading makes engines restart without their model and load it from the weight store on
	// a model order. If it is nil, engines have their model after each start.
	ModelLoading *ModelLoading
	// KeyHeader is the header with the idempotency key of an order, both at the plain service
	// and in the bundle; empty means no keys.
	KeyHeader string
	// NoEntries starts no entries, for programs that use the endpoints only or run entries
	// in other processes.
	NoEntries bool
	// Log receives the log messages of the entries; the default discards them.
	Log *zap.Logger
	// Clock supplies the timestamps of the endpoints' records; the default is a new system
	// clock.
	Clock clock.Clock
}

// ModelLoading configures how engines load their models.
type ModelLoading struct {
	// StartEmpty makes engines start without their model at the first start too, not only at a
	// restart.
	StartEmpty bool
	// ModelSize is the size of a model in bytes, StoreBandwidth the bandwidth of the weight store in
	// bytes per second.
	ModelSize, StoreBandwidth ident.Bytes
	// IgnoreFences makes engines ignore fencing numbers even if the bundle says that they check
	// them.
	IgnoreFences bool
}

func (c Config) withDefaults() Config {
	c.Deployment = cmp.Or(c.Deployment, Kgosi)
	c.Entries = cmp.Or(c.Entries, 4)
	c.Seed = cmp.Or(c.Seed, 1)
	c.Policy = cmp.Or(c.Policy, "tanager")
	c.Speedup = cmp.Or(c.Speedup, 1)
	c.Slots = cmp.Or(c.Slots, 8)
	c.TokenInterval = cmp.Or(c.TokenInterval, 30*time.Millisecond)
	c.PrefillPerToken = cmp.Or(c.PrefillPerToken, 250*time.Microsecond)
	c.ReportLag = cmp.Or(c.ReportLag, clock.Second)
	c.ListLag = cmp.Or(c.ListLag, 30*clock.Second)
	c.RestartDelay = cmp.Or(c.RestartDelay, clock.Second)
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Clock == nil {
		c.Clock = clock.NewSystem()
	}
	return c
}

// compress divides a simulated time by Speedup.
func (c *Config) compress(d time.Duration) time.Duration {
	return time.Duration(float64(d) / c.Speedup)
}

// compressSpan divides a simulated time by Speedup; the result is at least 1 ms.
func (c *Config) compressSpan(s clock.Span) clock.Span {
	return max(1, clock.Span(math.Round(float64(s)/c.Speedup)))
}

// deploymentSpec holds the topology of a deployment.
type deploymentSpec struct {
	regions        []ident.Region
	engineService  ident.Service
	model          string
	engines        int
	plainService   ident.Service
	plainInstances int
	// delay is the one-way delay between two regions.
	delay time.Duration
	// bandwidth is the bandwidth from one region to another in bytes per second.
	bandwidth ident.Bytes
}

const (
	megabit = 1_000_000 / 8 // bytes
	// regionDelay is the delay between regions, which the design page gives as "little over
	// 50 ms".
	regionDelay = 52 * time.Millisecond
)

// specOf returns the topology of a deployment, or a KindConfig error for an unknown name.
func specOf(deployment string) (deploymentSpec, error) {
	switch deployment {
	case Kgosi:
		return deploymentSpec{
			regions:       []ident.Region{"gauteng", "western-cape", "kzn"},
			engineService: "kit-assistant", model: "kit-1", engines: 18,
			plainService: "order-desk", plainInstances: 3, delay: regionDelay, bandwidth: 100 * megabit,
		}, nil
	case Skovbro:
		return deploymentSpec{
			regions:       []ident.Region{"dk-east", "dk-west", "se-south"},
			engineService: "assistant", model: "curtain-1", engines: 9,
			plainService: "orders", plainInstances: 3, delay: regionDelay, bandwidth: 2000 * megabit,
		}, nil
	}
	return deploymentSpec{}, fault.Newf("start", KindConfig, "deployment %q is neither %s nor %s", deployment, Kgosi, Skovbro)
}

// regionOf returns the region of instance i; instances are assigned in turn.
func (d *deploymentSpec) regionOf(i int) ident.Region { return d.regions[i%len(d.regions)] }
