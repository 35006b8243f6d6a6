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

// Limits of the values in a document. Sizes are in bytes, rates in bytes per second.
const (
	maxName = 64
	// maxVersion is the largest integer that every JSON implementation represents exactly.
	maxVersion  = 1<<53 - 1
	maxUrgency  = 15
	maxDuration = 24 * 60 * clock.Minute
	// maxValidity is below the 10 minutes for which peers remember a successor.
	maxValidity   = 5 * clock.Minute
	maxTokens     = 1_000_000_000
	maxCount      = 1_000_000
	maxBody       = ident.Bytes(1) << 30
	maxAnswers    = ident.Bytes(1) << 34
	maxLinkBudget = ident.Bytes(1) << 40
	maxBurst      = 10_000
	maxAttempts   = 10
	maxWeight     = 100
	// maxErrors is the maximum number of errors that Check reports.
	maxErrors = 10
)

// Check validates the document. It reports up to 10 errors, one per line, each starting with
// the path of the field. Errors have KindInvalid.
func (d *Document) Check() error {
	checker := &checker{document: d}
	checker.numbers()
	checker.regions("regions", d.Regions)
	for i := range d.Homes {
		checker.home(elementPath("homes", i), i)
	}
	checker.classes()
	for i := range d.Services {
		checker.service(elementPath("services", i), i)
	}
	checker.require(len(d.Services) > 0, "services", "must list at least one service")
	checker.links()
	return errors.Join(checker.errors...)
}

// checker collects the errors of a document.
type checker struct {
	document *Document
	errors   []error
}

func (c *checker) require(ok bool, path, format string, args ...any) {
	if !ok && len(c.errors) < maxErrors {
		c.errors = append(c.errors, fault.Newf(path, KindInvalid, format, args...))
	}
}

// requireRange reports a value outside low to high. The comparison also rejects NaN.
func requireRange[N ~int | ~int64 | ~uint64 | ~float64](checker *checker, path string, value, low, high N) {
	checker.require(value >= low && value <= high, path, "%v is not in the range %v to %v", value, low, high)
}

func (c *checker) name(path, name string) {
	c.require(validName(name), path, "%.64q is not a name of 1 to %d letters, digits, '.', '-' or '_'", name, maxName)
}

func (c *checker) numbers() {
	document := c.document
	requireRange(c, "version", document.Version, 1, maxVersion)
	c.name("deployment", document.Deployment)
	requireRange(c, "limits.body", document.Limits.Body, 1, maxBody)
	requireRange(c, "limits.queue", document.Limits.Queue, 1, maxCount)
	requireRange(c, "limits.caller", document.Limits.Caller, 1, maxCount)
	requireRange(c, "limits.answers", document.Limits.Answers, 0, maxAnswers)
	requireRange(c, "limits.loads", document.Limits.Loads, 1, maxCount)
	requireRange(c, "retry.share", document.Retry.Ratio, 0, 1)
	requireRange(c, "retry.burst", document.Retry.Burst, 0, maxBurst)
	requireRange(c, "retry.attempts", document.Retry.MaxAttempts, 1, maxAttempts)
	requireRange(c, "weights.away", document.Weights.Away, 0, maxWeight)
	requireRange(c, "weights.cost", document.Weights.Cost, 0, maxWeight)
	requireRange(c, "weights.short", document.Weights.Short, 0, maxWeight)
	requireRange(c, "weights.tail", document.Weights.Tail, 0, maxWeight)
}

// regions checks a list of regions against the declared ones.
func (c *checker) regions(path string, list []ident.Region) {
	c.require(len(list) > 0, path, "must list at least one region")
	for i, r := range list {
		element := elementPath(path, i)
		c.name(element, string(r))
		c.declaredRegion(element, r)
		c.require(!slices.Contains(list[:i], r), element, "duplicate region %q", r)
	}
}

func (c *checker) declaredRegion(path string, region ident.Region) {
	c.require(slices.Contains(c.document.Regions, region), path, "undeclared region %q", region)
}

func (c *checker) home(path string, position int) {
	list := c.document.Homes
	home := list[position]
	c.name(path+".name", string(home.Name))
	duplicate := slices.ContainsFunc(list[:position], func(o Home) bool { return o.Name == home.Name })
	c.require(!duplicate, path+".name", "duplicate home %q", home.Name)
	c.regions(path+".regions", home.Regions)
}

func (c *checker) classes() {
	list := c.document.Classes
	unbounded := slices.ContainsFunc(list, func(s Class) bool { return s.MaxTokens == 0 })
	c.require(unbounded, "classes", "one class must be unbounded (tokens 0)")
	for i, s := range list {
		path := elementPath("classes", i)
		duplicate := slices.ContainsFunc(list[:i], func(o Class) bool { return o.Name == s.Name })
		c.require(!duplicate, path+".name", "duplicate class %q", s.Name)
		duplicateLimit := slices.ContainsFunc(list[:i], func(o Class) bool { return o.MaxTokens == s.MaxTokens })
		c.require(!duplicateLimit, path+".tokens", "another class has the same limit of %d tokens", s.MaxTokens)
		c.class(path, s)
	}
}

func (c *checker) class(path string, class Class) {
	c.name(path+".name", string(class.Name))
	requireRange(c, path+".urgency", class.Urgency, 0, maxUrgency)
	requireRange(c, path+".first", class.FirstTokenTarget, 1, maxDuration)
	requireRange(c, path+".between", class.BetweenTokensTarget, 1, maxDuration)
	requireRange(c, path+".deadline", class.Deadline, 1, maxDuration)
	c.require(class.Deadline >= class.FirstTokenTarget, path+".deadline", "%v is less than the target in first", class.Deadline)
	requireRange(c, path+".tokens", class.MaxTokens, 0, maxTokens)
	requireRange(c, path+".share", class.MaxShare, 0, 1)
	c.require(class.MaxShare != 0, path+".share", "must be above 0")
}

func (c *checker) service(path string, position int) {
	list := c.document.Services
	service := &list[position]
	c.name(path+".name", string(service.Name))
	duplicate := slices.ContainsFunc(list[:position], func(o Service) bool { return o.Name == service.Name })
	c.require(!duplicate, path+".name", "duplicate service %q", service.Name)
	c.regions(path+".regions", service.Regions)
	switch service.Kind {
	case Engine:
		c.engine(path, service)
	case Plain:
		c.plain(path, service)
	default:
		c.require(false, path+".kind", "%.64q is neither %q nor %q", service.Kind, Engine, Plain)
	}
}

func (c *checker) engine(path string, service *Service) {
	c.require(service.Model != "" && len(service.Model) <= 4*maxName, path+".model", "must have 1 to %d bytes", 4*maxName)
	c.require(len(service.Calls) == 0, path+".calls", "an engine must not declare calls")
	c.require(service.Validity == 0, path+".validity", "an engine issues no tickets")
}

func (c *checker) plain(path string, service *Service) {
	c.require(!service.Continue, path+".continue", "only an engine can continue a response")
	c.require(!service.ChecksFence, path+".fence", "only an engine checks fencing numbers")
	c.require(service.Model == "", path+".model", "only an engine loads a model")
	c.require(len(service.Calls) > 0, path+".calls", "must list at least one call")
	minValidity := clock.Span(0)
	for i, a := range service.Calls {
		c.call(elementPath(path+".calls", i), service.Calls[:i], a)
		if !a.Idempotent {
			minValidity = 1
		}
	}
	requireRange(c, path+".validity", service.Validity, minValidity, maxValidity)
}

func (c *checker) call(path string, before []Call, call Call) {
	c.require(slices.Contains(methods(), call.Method), path+".method", "%.64q is not one of %v", call.Method, methods())
	c.require(validPath(call.Path), path+".path", "%.64q is not an absolute, clean path", call.Path)
	duplicate := slices.ContainsFunc(before, func(o Call) bool { return o.Method == call.Method && o.Path == call.Path })
	c.require(!duplicate, path+".path", "duplicate call %s %s", call.Method, call.Path)
	c.require(call.Idempotent || !call.Hedge, path+".hedge", "only an idempotent call may be hedged")
	c.require(call.KeyHeader == "" || !call.Idempotent, path+".dedupe", "an idempotent call needs no deduplication key")
	c.require(call.KeyHeader == "" || slices.Contains(keyHeaders(), call.KeyHeader), path+".dedupe", "%.64q is not one of %v", call.KeyHeader, keyHeaders())
}

// keyHeaders lists the allowed headers for idempotency keys. http.Transport retries a
// request that has one of them, but only on a reused connection, and calls that are not
// idempotent are always sent on a new one.
func keyHeaders() []string { return []string{"Idempotency-Key", "X-Idempotency-Key"} }

func (c *checker) links() {
	list := c.document.Links
	for i, l := range list {
		path := elementPath("links", i)
		c.declaredRegion(path+".from", l.From)
		c.declaredRegion(path+".to", l.To)
		c.require(l.From != l.To, path+".to", "must differ from the region in from")
		duplicate := slices.ContainsFunc(list[:i], func(o Link) bool { return o.From == l.From && o.To == l.To })
		c.require(!duplicate, path, "duplicate link from %q to %q", l.From, l.To)
		requireRange(c, path+".budget", l.Budget, 1, maxLinkBudget)
	}
}

func methods() []string {
	return []string{
		http.MethodGet, http.MethodHead, http.MethodOptions,
		http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	}
}

// validName reports whether name needs no quoting in a header, a URL path and a setting.
func validName(name string) bool {
	if name == "" || len(name) > maxName {
		return false
	}
	return !strings.ContainsFunc(name, func(r rune) bool {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		return !letter && (r < '0' || r > '9') && !strings.ContainsRune(".-_", r)
	})
}

// validPath reports whether a call can be declared with the path.
func validPath(callPath string) bool {
	return isCleanPath(callPath) && len(callPath) <= 1024 && !strings.ContainsAny(callPath, "?#% ")
}

// isCleanPath reports whether callPath is absolute and contains no empty, "." or ".." segment,
// backslash or control character. An endpoint could resolve those to a different call than
// the entry matched.
func isCleanPath(callPath string) bool {
	if !strings.HasPrefix(callPath, "/") {
		return false
	}
	if strings.ContainsFunc(callPath, func(r rune) bool { return r < ' ' || r == 0x7f || r == '\\' }) {
		return false
	}
	return callPath == "/" || path.Clean(callPath) == strings.TrimSuffix(callPath, "/")
}
