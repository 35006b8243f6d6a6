// Package config holds the settings of the entry daemon as one typed tree.
package config

import (
	"net"
	"net/url"
	"slices"
	"strings"

	"go.uber.org/zap/zapcore"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// Missing says that a required setting is empty.
	Missing Kind = "missing"
	// Invalid says that a setting has a value that can't be used.
	Invalid Kind = "invalid"
)

// Error is the error of this package; its text names the flag.
type Error = fault.Error[Kind]

// Entry is the settings tree of one entry instance.
type Entry struct {
	Name   ident.Entry
	Region ident.Region
	Zone   ident.Zone
	Listen Listen
	// Platform tells where the configuration service and the instance list are.
	Platform Platform
	Keys     Keys
	// Policy names how endpoints are chosen; see package route.
	Policy string
	// Seed makes the random choices of a process repeatable; 0 takes one from the system.
	Seed  uint64
	Drain Drain
	Log   Log
}

// Listen holds the addresses the daemon binds, as host:port with an IP number.
// Port 0 lets the system choose.
type Listen struct {
	Caller string
	Admin  string
	Peer   string
}

// Platform holds the URLs of what the platform publishes.
type Platform struct {
	Values string
	List   string
	// Value names the value of the configuration service that holds the bundle.
	Value string
}

// Keys holds key texts of the form "id=base64", separated by commas.
type Keys struct {
	// Bundle holds the operators' public keys.
	Bundle string
	// Fleet holds the secrets that entries prove to each other; the first is current.
	Fleet string
	// Tickets holds the secrets that authenticate tickets; the first signs.
	Tickets string
}

// Drain bounds the phases of a graceful shutdown.
type Drain struct {
	// Linger is how long the entry still takes new requests after it has asked
	// locate to stop naming it.
	Linger clock.Span
	// Limit ends the wait for requests in progress; 0 waits without limit.
	Limit clock.Span
}

// Log sets what is logged.
type Log struct {
	Level string
}

// Policies lists the names that Policy may have.
var Policies = []string{"tanager", "random", "robin", "least", "single"}

// Default returns settings in which only names, addresses, URLs and keys are missing.
func Default() Entry {
	return Entry{
		Listen:   Listen{Caller: "127.0.0.1:8080", Admin: "127.0.0.1:8081", Peer: "127.0.0.1:8082"},
		Platform: Platform{Value: "bundle"},
		Policy:   "tanager",
		Drain:    Drain{Linger: 3 * clock.Second},
		Log:      Log{Level: "info"},
	}
}

// Check returns an *Error for the first setting that is missing or invalid.
func (e *Entry) Check() error {
	checks := []error{
		required("name", string(e.Name)),
		required("region", string(e.Region)),
		required("zone", string(e.Zone)),
		address("listen", e.Listen.Caller),
		address("admin", e.Listen.Admin),
		address("peer", e.Listen.Peer),
		location("values", e.Platform.Values),
		location("list", e.Platform.List),
		required("value", e.Platform.Value),
		keys("bundle-keys", e.Keys.Bundle),
		keys("fleet-keys", e.Keys.Fleet),
		keys("ticket-keys", e.Keys.Tickets),
		oneOf("policy", e.Policy, Policies),
		span("linger", e.Drain.Linger),
		span("drain-limit", e.Drain.Limit),
		level("log-level", e.Log.Level),
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}

func required(flag, value string) error {
	if strings.TrimSpace(value) == "" {
		return fault.New("--"+flag, Missing)
	}
	return nil
}

func address(flag, value string) error {
	if err := required(flag, value); err != nil {
		return err
	}
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		return fault.Wrap("--"+flag, Invalid, err)
	}
	if net.ParseIP(host) == nil {
		return fault.Newf("--"+flag, Invalid, "%q is not an IP number", host)
	}
	return nil
}

func location(flag, value string) error {
	if err := required(flag, value); err != nil {
		return err
	}
	u, err := url.Parse(value)
	if err != nil {
		return fault.Wrap("--"+flag, Invalid, err)
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return fault.Newf("--"+flag, Invalid, "%q is not an http or https URL", value)
	}
	return nil
}

func keys(flag, value string) error {
	if err := required(flag, value); err != nil {
		return err
	}
	for part := range strings.SplitSeq(value, ",") {
		id, text, found := strings.Cut(part, "=")
		if !found || id == "" || text == "" {
			return fault.Newf("--"+flag, Invalid, "want id=base64, separated by commas")
		}
	}
	return nil
}

func oneOf(flag, value string, allowed []string) error {
	if slices.Contains(allowed, value) {
		return nil
	}
	return fault.Newf("--"+flag, Invalid, "%q is none of %s", value, strings.Join(allowed, ", "))
}

func span(flag string, value clock.Span) error {
	if value < 0 {
		return fault.Newf("--"+flag, Invalid, "%s is negative", value)
	}
	return nil
}

func level(flag, value string) error {
	if _, err := zapcore.ParseLevel(value); err != nil {
		return fault.Wrap("--"+flag, Invalid, err)
	}
	return nil
}
