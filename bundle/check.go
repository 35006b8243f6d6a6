package bundle

import (
	"errors"
	"net/http"
	"path"
	"slices"
	"strings"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Bounds of a document's values.
const (
	maxName = 64
	// maxVersion is the largest number that every JSON tool represents exactly.
	maxVersion = 1<<53 - 1
	maxUrgency = 15
	maxSpan    = 24 * 60 * clock.Minute
	// maxValidity stays below the 10 minutes for which peers remember a successor.
	maxValidity = 5 * clock.Minute
	maxTokens   = 1_000_000_000
	maxCount    = 1_000_000
	maxBody     = ident.Bytes(1) << 30
	maxAnswers  = ident.Bytes(1) << 34
	maxBudget   = ident.Bytes(1) << 40
	maxBurst    = 10_000
	maxAttempts = 10
	maxWeight   = 100
	// maxErrors bounds how many errors one Check reports.
	maxErrors = 10
)

// Check validates the document. It reports up to 10 errors, a line each; each
// line starts with the path of the field.
func (d *Document) Check() error {
	c := &checker{document: d}
	c.numbers()
	c.regions("regions", d.Regions)
	for i := range d.Homes {
		c.home(index("homes", i), i)
	}
	c.classes()
	for i := range d.Services {
		c.service(index("services", i), i)
	}
	c.require(len(d.Services) > 0, "services", "no service")
	c.links()
	return errors.Join(c.errors...)
}

// checker collects the errors of one document.
type checker struct {
	document *Document
	errors   []error
}

func (c *checker) require(ok bool, path, format string, args ...any) {
	if !ok && len(c.errors) < maxErrors {
		c.errors = append(c.errors, fault.Newf(path, KindInvalid, format, args...))
	}
}

// within reports a value outside low to high. It is written so that NaN fails.
func within[N ~int | ~int64 | ~uint64 | ~float64](c *checker, path string, value, low, high N) {
	c.require(value >= low && value <= high, path, "%v is not within %v to %v", value, low, high)
}

func (c *checker) name(path, name string) {
	c.require(validName(name), path, "%.64q is not a name of 1 to %d letters, digits, '.', '-' or '_'", name, maxName)
}

func (c *checker) numbers() {
	d := c.document
	within(c, "version", d.Version, 1, maxVersion)
	c.name("deployment", d.Deployment)
	within(c, "limits.body", d.Limits.Body, 1, maxBody)
	within(c, "limits.queue", d.Limits.Queue, 1, maxCount)
	within(c, "limits.caller", d.Limits.Caller, 1, maxCount)
	within(c, "limits.answers", d.Limits.Answers, 0, maxAnswers)
	within(c, "limits.loads", d.Limits.Loads, 1, maxCount)
	within(c, "retry.share", d.Retry.Share, 0, 1)
	within(c, "retry.burst", d.Retry.Burst, 0, maxBurst)
	within(c, "retry.attempts", d.Retry.Attempts, 1, maxAttempts)
	within(c, "weights.away", d.Weights.Away, 0, maxWeight)
	within(c, "weights.cost", d.Weights.Cost, 0, maxWeight)
	within(c, "weights.short", d.Weights.Short, 0, maxWeight)
	within(c, "weights.tail", d.Weights.Tail, 0, maxWeight)
}

// regions checks a list of regions against those that the document declares.
func (c *checker) regions(path string, list []ident.Region) {
	c.require(len(list) > 0, path, "no region")
	for i, r := range list {
		at := index(path, i)
		c.name(at, string(r))
		c.known(at, r)
		c.require(!slices.Contains(list[:i], r), at, "region %q is listed twice", r)
	}
}

func (c *checker) known(path string, r ident.Region) {
	c.require(slices.Contains(c.document.Regions, r), path, "region %q is not in regions", r)
}

func (c *checker) home(path string, i int) {
	list := c.document.Homes
	h := list[i]
	c.name(path+".name", string(h.Name))
	twice := slices.ContainsFunc(list[:i], func(o Home) bool { return o.Name == h.Name })
	c.require(!twice, path+".name", "home %q is declared twice", h.Name)
	c.regions(path+".regions", h.Regions)
}

func (c *checker) classes() {
	list := c.document.Classes
	unbounded := slices.ContainsFunc(list, func(s Class) bool { return s.Tokens == 0 })
	c.require(unbounded, "classes", "no class without a bound (tokens 0)")
	for i, s := range list {
		path := index("classes", i)
		twice := slices.ContainsFunc(list[:i], func(o Class) bool { return o.Name == s.Name })
		c.require(!twice, path+".name", "class %q is declared twice", s.Name)
		same := slices.ContainsFunc(list[:i], func(o Class) bool { return o.Tokens == s.Tokens })
		c.require(!same, path+".tokens", "another class has the bound %d", s.Tokens)
		c.class(path, s)
	}
}

func (c *checker) class(path string, s Class) {
	c.name(path+".name", string(s.Name))
	within(c, path+".urgency", s.Urgency, 0, maxUrgency)
	within(c, path+".first", s.First, 1, maxSpan)
	within(c, path+".between", s.Between, 1, maxSpan)
	within(c, path+".deadline", s.Deadline, 1, maxSpan)
	c.require(s.Deadline >= s.First, path+".deadline", "%v is below first", s.Deadline)
	within(c, path+".tokens", s.Tokens, 0, maxTokens)
	within(c, path+".share", s.Share, 0, 1)
	c.require(s.Share != 0, path+".share", "must be above 0")
}

func (c *checker) service(path string, i int) {
	list := c.document.Services
	s := &list[i]
	c.name(path+".name", string(s.Name))
	twice := slices.ContainsFunc(list[:i], func(o Service) bool { return o.Name == s.Name })
	c.require(!twice, path+".name", "service %q is declared twice", s.Name)
	c.regions(path+".regions", s.Regions)
	switch s.Kind {
	case Engine:
		c.engine(path, s)
	case Plain:
		c.plain(path, s)
	default:
		c.require(false, path+".kind", "%.64q is neither %q nor %q", s.Kind, Engine, Plain)
	}
}

func (c *checker) engine(path string, s *Service) {
	c.require(s.Model != "" && len(s.Model) <= 4*maxName, path+".model", "want 1 to %d bytes", 4*maxName)
	c.require(len(s.Calls) == 0, path+".calls", "an engine has no calls")
	c.require(s.Validity == 0, path+".validity", "an engine has no tickets")
}

func (c *checker) plain(path string, s *Service) {
	c.require(!s.Continue, path+".continue", "only engines continue")
	c.require(!s.Fence, path+".fence", "only engines check fencing numbers")
	c.require(s.Model == "", path+".model", "only engines have a model")
	c.require(len(s.Calls) > 0, path+".calls", "no call")
	lowest := clock.Span(0)
	for i, a := range s.Calls {
		c.call(index(path+".calls", i), s.Calls[:i], a)
		if !a.Idempotent {
			lowest = 1
		}
	}
	within(c, path+".validity", s.Validity, lowest, maxValidity)
}

func (c *checker) call(path string, before []Call, a Call) {
	c.require(slices.Contains(methods(), a.Method), path+".method", "%.64q is not one of %v", a.Method, methods())
	c.require(validPath(a.Path), path+".path", "%.64q is not an absolute, clean path", a.Path)
	twice := slices.ContainsFunc(before, func(o Call) bool { return o.Method == a.Method && o.Path == a.Path })
	c.require(!twice, path+".path", "call %s %s is declared twice", a.Method, a.Path)
	c.require(a.Idempotent || !a.Hedge, path+".hedge", "a call that is not idempotent can't be hedged")
	c.require(a.Dedupe == "" || !a.Idempotent, path+".dedupe", "an idempotent call needs no key")
	c.require(a.Dedupe == "" || slices.Contains(keyHeaders(), a.Dedupe), path+".dedupe", "%.64q is not one of %v", a.Dedupe, keyHeaders())
}

// keyHeaders lists the headers that a service may take a key in. http.Transport
// repeats a request that has one of them, but only on a reused connection, and
// calls that are not idempotent are always sent on a fresh one.
func keyHeaders() []string { return []string{"Idempotency-Key", "X-Idempotency-Key"} }

func (c *checker) links() {
	list := c.document.Links
	for i, l := range list {
		path := index("links", i)
		c.known(path+".from", l.From)
		c.known(path+".to", l.To)
		c.require(l.From != l.To, path+".to", "a link joins two regions")
		twice := slices.ContainsFunc(list[:i], func(o Link) bool { return o.From == l.From && o.To == l.To })
		c.require(!twice, path, "link from %q to %q is declared twice", l.From, l.To)
		within(c, path+".budget", l.Budget, 1, maxBudget)
	}
}

func methods() []string {
	return []string{
		http.MethodGet, http.MethodHead, http.MethodOptions,
		http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	}
}

// validName reports whether name can stand in a header, a URL path and a
// setting without quoting.
func validName(name string) bool {
	if name == "" || len(name) > maxName {
		return false
	}
	return !strings.ContainsFunc(name, func(r rune) bool {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		return !letter && (r < '0' || r > '9') && !strings.ContainsRune(".-_", r)
	})
}

// validPath reports whether p can be declared as the path of a call.
func validPath(p string) bool {
	return cleanPath(p) && len(p) <= 1024 && !strings.ContainsAny(p, "?#% ")
}

// cleanPath reports whether p is absolute and has no empty, "." or ".."
// segment, backslash or control character. An endpoint may resolve these to
// another call than the one that the entry matched.
func cleanPath(p string) bool {
	if !strings.HasPrefix(p, "/") {
		return false
	}
	if strings.ContainsFunc(p, func(r rune) bool { return r < ' ' || r == 0x7f || r == '\\' }) {
		return false
	}
	return p == "/" || path.Clean(p) == strings.TrimSuffix(p, "/")
}
