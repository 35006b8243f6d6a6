// Package config defines and validates the settings of the entry daemon.
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
	// KindMissing means that a required setting is empty.
	KindMissing Kind = "missing"
	// KindInvalid means that a setting has an unusable value.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package; Op is the flag.
type Error = fault.Error[Kind]

// Entry holds the settings of one entry instance.
type Entry struct {
	Name   ident.Entry
	Region ident.Region
	Zone   ident.Zone
	Listen Listen
	// Platform holds the URLs of the configuration service and of the instance list.
	Platform Platform
	Keys     Keys
	// Policy is the endpoint selection policy; see package route.
	Policy string
	// Seed makes the random choices of a process reproducible; 0 picks a random seed.
	Seed  uint64
	Drain Drain
	Log   Log
}

// Listen holds the listen addresses of the daemon as IP:port. Port 0 lets the
// system choose.
type Listen struct {
	Caller string
	Admin  string
	Peer   string
}

// Platform holds the URLs of the platform's services.
type Platform struct {
	ConfigURL    string
	InstancesURL string
	// BundleName is the name of the bundle in the configuration service.
	BundleName string
}

// Keys holds lists of keys in the form "id=base64", separated by commas.
type Keys struct {
	// Bundle holds the operators' public keys, which verify bundles.
	Bundle string
	// Fleet holds the secrets with which entries authenticate each other; the first is current.
	Fleet string
	// Tickets holds the secrets that authenticate tickets; the first is used for signing.
	Tickets string
}

// Drain limits the phases of a graceful shutdown.
type Drain struct {
	// Linger is how long the entry still accepts new requests after it was
	// removed from locate responses.
	Linger clock.Span
	// Limit is the maximum wait for requests in progress; 0 waits without limit.
	Limit clock.Span
}

// Log holds the logging settings.
type Log struct {
	Level string
}

// Policies lists the valid values of Policy.
var Policies = []string{"tanager", "random", "robin", "least", "single"}

// Default returns the default settings. The name, region, zone, URLs and keys have no
// defaults.
func Default() Entry {
	return Entry{
		Listen:   Listen{Caller: "127.0.0.1:8080", Admin: "127.0.0.1:8081", Peer: "127.0.0.1:8082"},
		Platform: Platform{BundleName: "bundle"},
		Policy:   "tanager",
		Drain:    Drain{Linger: 3 * clock.Second},
		Log:      Log{Level: "info"},
	}
}

// Check returns an *Error of kind KindMissing or KindInvalid for the first invalid setting.
func (e *Entry) Check() error {
	checks := []error{
		checkRequired("name", string(e.Name)),
		checkRequired("region", string(e.Region)),
		checkRequired("zone", string(e.Zone)),
		checkAddress("listen", e.Listen.Caller),
		checkAddress("admin", e.Listen.Admin),
		checkAddress("peer", e.Listen.Peer),
		checkURL("values", e.Platform.ConfigURL),
		checkURL("list", e.Platform.InstancesURL),
		checkRequired("value", e.Platform.BundleName),
		checkKeys("bundle-keys", e.Keys.Bundle),
		checkKeys("fleet-keys", e.Keys.Fleet),
		checkKeys("ticket-keys", e.Keys.Tickets),
		checkOneOf("policy", e.Policy, Policies),
		checkSpan("linger", e.Drain.Linger),
		checkSpan("drain-limit", e.Drain.Limit),
		checkLevel("log-level", e.Log.Level),
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}

func checkRequired(flag, value string) error {
	if strings.TrimSpace(value) == "" {
		return fault.New("--"+flag, KindMissing)
	}
	return nil
}

func checkAddress(flag, value string) error {
	if err := checkRequired(flag, value); err != nil {
		return err
	}
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		return fault.Wrap("--"+flag, KindInvalid, err)
	}
	if net.ParseIP(host) == nil {
		return fault.Newf("--"+flag, KindInvalid, "%q is not an IP address", host)
	}
	return nil
}

func checkURL(flag, value string) error {
	if err := checkRequired(flag, value); err != nil {
		return err
	}
	u, err := url.Parse(value)
	if err != nil {
		return fault.Wrap("--"+flag, KindInvalid, err)
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return fault.Newf("--"+flag, KindInvalid, "%q is not an http or https URL", value)
	}
	return nil
}

func checkKeys(flag, value string) error {
	if err := checkRequired(flag, value); err != nil {
		return err
	}
	for part := range strings.SplitSeq(value, ",") {
		id, text, found := strings.Cut(part, "=")
		if !found || id == "" || text == "" {
			return fault.Newf("--"+flag, KindInvalid, "want id=base64, separated by commas")
		}
	}
	return nil
}

func checkOneOf(flag, value string, allowed []string) error {
	if slices.Contains(allowed, value) {
		return nil
	}
	return fault.Newf("--"+flag, KindInvalid, "%q is none of %s", value, strings.Join(allowed, ", "))
}

func checkSpan(flag string, value clock.Span) error {
	if value < 0 {
		return fault.Newf("--"+flag, KindInvalid, "%s is negative", value)
	}
	return nil
}

func checkLevel(flag, value string) error {
	if _, err := zapcore.ParseLevel(value); err != nil {
		return fault.Wrap("--"+flag, KindInvalid, err)
	}
	return nil
}
