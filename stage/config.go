// Package stage runs one complete deployment in a single process over loopback:
// entries, endpoints, the platform, and the links between regions with their
// delay and bandwidth.
package stage

import (
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
	// KindConfig means that the configuration names something unknown.
	KindConfig Kind = "config"
	// KindStart means that a part of the deployment could not be started.
	KindStart Kind = "start"
	// KindUnknown means that a method was given a name that is not part of the deployment.
	KindUnknown Kind = "unknown"
	// KindTimeout means that the deployment did not become ready in time.
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

// Config constructs a Stage. Zero values are replaced by defaults.
type Config struct {
	// Deployment is Kgosi or Skovbro.
	Deployment string
	// Entries is the number of entry instances; the default is 4. The first
	// region gets one more than the others if they can't be spread evenly.
	Entries int
	// Seed makes choices and key material repeatable; the default is 1.
	Seed uint64
	// Policy is the routing policy of the entries; the default is "tanager".
	Policy string
	// Speed divides the times of the model: engines, links and the bundle's
	// targets. The daemon's own timers keep their length. The default is 1.
	Speed float64
	// Runners overrides the deployment's number of engines.
	Runners int
	// Slots is how many requests an engine runs at once; the default is 8.
	Slots int
	// Gap is the time between tokens before compression; the default is 30 ms.
	Gap time.Duration
	// Prefill is the time per prompt token before compression; the default is 250 µs.
	Prefill time.Duration
	// Lag is how old load reports are, before compression; the default is 1 s.
	Lag clock.Span
	// ListLag is how old the platform's instance list is; the default is 30 s.
	ListLag clock.Span
	// Reboot is how long an engine that was crashed by a request stays down; the
	// default is 1 s.
	Reboot clock.Span
	// Flat makes the engines ignore priorities.
	Flat bool
	// Loads makes restarted engines come back without their model and load it from
	// the weight store when they are ordered to. By default engines have their model
	// after each start.
	Loads *Loads
	// Dedupe names the header in which the plain service takes the key of an order and
	// the bundle has it sent; empty for none.
	Dedupe string
	// NoEntries leaves the entries out, for other programs that use the endpoints.
	NoEntries bool
	// Log takes the entries' log lines; the default discards them.
	Log *zap.Logger
	// Clock gives the times of the endpoints' records; the default is a new system clock.
	Clock clock.Clock
}

// Loads tells how engines get their models.
type Loads struct {
	// Empty makes engines start without their model. Without it, only restarted ones
	// come back without.
	Empty bool
	// Size is how many bytes a model takes, Rate the bandwidth of the weight store in
	// bytes a second.
	Size, Rate ident.Bytes
	// Ignore makes engines ignore fencing numbers although the bundle says otherwise.
	Ignore bool
}

func (c Config) withDefaults() Config {
	c.Deployment = or(c.Deployment, Kgosi)
	c.Entries = or(c.Entries, 4)
	c.Seed = or(c.Seed, 1)
	c.Policy = or(c.Policy, "tanager")
	c.Speed = or(c.Speed, 1)
	c.Slots = or(c.Slots, 8)
	c.Gap = or(c.Gap, 30*time.Millisecond)
	c.Prefill = or(c.Prefill, 250*time.Microsecond)
	c.Lag = or(c.Lag, clock.Second)
	c.ListLag = or(c.ListLag, 30*clock.Second)
	c.Reboot = or(c.Reboot, clock.Second)
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Clock == nil {
		c.Clock = clock.NewSystem()
	}
	return c
}

func or[T comparable](v, preset T) T {
	var zero T
	if v == zero {
		return preset
	}
	return v
}

// duration compresses a time of the model.
func (c *Config) duration(d time.Duration) time.Duration {
	return time.Duration(float64(d) / c.Speed)
}

// span compresses a time of the model to at least 1 ms.
func (c *Config) span(s clock.Span) clock.Span {
	return max(1, clock.Span(math.Round(float64(s)/c.Speed)))
}

// plan holds the sizes of one deployment.
type plan struct {
	regions []ident.Region
	engine  ident.Service
	model   string
	runners int
	plain   ident.Service
	desks   int
	// delay is the one-way latency between two regions.
	delay time.Duration
	// rate is the bandwidth from one region to another.
	rate ident.Bytes
}

const (
	megabit = 1_000_000 / 8 // bytes
	// regionDelay is the "little over 50 ms" of the design page.
	regionDelay = 52 * time.Millisecond
)

func planOf(deployment string) (plan, error) {
	switch deployment {
	case Kgosi:
		return plan{
			regions: []ident.Region{"gauteng", "western-cape", "kzn"},
			engine:  "kit-assistant", model: "kit-1", runners: 18,
			plain: "order-desk", desks: 3, delay: regionDelay, rate: 100 * megabit,
		}, nil
	case Skovbro:
		return plan{
			regions: []ident.Region{"dk-east", "dk-west", "se-south"},
			engine:  "assistant", model: "curtain-1", runners: 9,
			plain: "orders", desks: 3, delay: regionDelay, rate: 2000 * megabit,
		}, nil
	}
	return plan{}, fault.Newf("start", KindConfig, "deployment %q is neither %s nor %s", deployment, Kgosi, Skovbro)
}

// regionOf spreads instances over the regions in turn.
func (p *plan) regionOf(i int) ident.Region { return p.regions[i%len(p.regions)] }
