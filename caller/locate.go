package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"sync"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// askLimit bounds one locate request. Entries answer it from memory, so that
	// a longer silence means that the entry is not usable.
	askLimit = 3 * clock.Second
	// askLater is how long an entry that failed is asked only after all others.
	askLater = 10 * clock.Second
)

// Locate returns the entries to use, in order of preference. The answer is kept
// for its validity. Call is empty, or "METHOD /path" for a call of a plain
// service; with a call every answer is fresh, because it may hold a ticket.
func (c *Client) Locate(ctx context.Context, call string) (Location, error) {
	if call == "" {
		return c.entries(ctx, "")
	}
	l, _, err := c.locate(ctx, call)
	return l, err
}

// entries returns the entries to use. They depend on the service and the home
// only, so that an answer for one call is good for all; the call is named
// because entries ask for it with a plain service.
func (c *Client) entries(ctx context.Context, call string) (Location, error) {
	if l, ok := c.book.cached(c.config.Clock.Now()); ok {
		return l, nil
	}
	l, _, err := c.locate(ctx, call)
	return l, err
}

// locate asks the known entries one after another until one answers.
func (c *Client) locate(ctx context.Context, call string) (Location, string, error) {
	var last error
	for _, address := range c.book.order(c.config.Clock.Now()) {
		l, err := c.ask(ctx, address, call)
		if err == nil {
			return l, address, nil
		}
		if r := refusal(err); ctx.Err() != nil || r != nil && r.final() {
			return Location{}, "", err
		}
		last = err
	}
	return Location{}, "", fault.Wrap("locate", Unreachable, last)
}

// ask asks one entry and notes the result.
func (c *Client) ask(ctx context.Context, address, call string) (Location, error) {
	l, err := c.askOnce(ctx, address, call)
	now := c.config.Clock.Now()
	if err == nil {
		c.book.learn(now, l)
		return l, nil
	}
	if ctx.Err() == nil && refusal(err) == nil {
		c.book.forget(now, address)
	}
	return l, err
}

func (c *Client) askOnce(ctx context.Context, address, call string) (Location, error) {
	var l Location
	ctx, cancel := context.WithTimeout(ctx, askLimit.Duration())
	defer cancel()
	s := send{address: address, method: http.MethodGet, path: c.locatePath(call)}
	s.request, s.try, s.anonymous = ident.Request(c.requestID()), 1, true
	r, err := c.do(ctx, s)
	if err != nil {
		return l, err
	}
	defer r.Body.Close() //nolint:errcheck // the answer was read or is of no use
	body, err := c.whole(r, s.method)
	if err != nil {
		return l, err
	}
	if r.StatusCode != http.StatusOK {
		return l, fault.Wrap("locate", Refused, error(answerRefusal(r, body)))
	}
	if err := json.Unmarshal(body, &l); err != nil {
		return l, fault.Wrap("locate", Broken, err)
	}
	if len(l.Entries) == 0 {
		return l, fault.Newf("locate", Broken, "%s names no entry", address)
	}
	return l, nil
}

// answerRefusal returns a Refusal for an answer that has to be one.
func answerRefusal(r reply, body []byte) *Refusal {
	if refusal := refused(r, body); refusal != nil {
		return refusal
	}
	var e Envelope
	_ = json.Unmarshal(body, &e)
	e.Error.Ran = RanUnknown
	if e.Error.Kind == "" {
		e.Error.Kind, e.Error.Message = byStatus(r.StatusCode), r.Status
	}
	return &e.Error
}

func (c *Client) locatePath(call string) string {
	q := url.Values{"service": {string(c.config.Service)}}
	if c.config.Home != "" {
		q.Set("home", string(c.config.Home))
	}
	if call != "" {
		q.Set("call", call)
	}
	return PathLocate + "?" + q.Encode()
}

// book holds the entries that a client knows.
type book struct {
	lock     sync.Mutex
	seeds    []string
	failed   []lapse
	location Location
	until    clock.Time
}

// lapse is a failed entry that is asked last until a time.
type lapse struct {
	address string
	until   clock.Time
}

func newBook(seeds []string) *book { return &book{seeds: slices.Clone(seeds)} }

func (b *book) cached(now clock.Time) (Location, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if len(b.location.Entries) == 0 || !now.Before(b.until) {
		return Location{}, false
	}
	l := b.location
	l.Entries = slices.Clone(l.Entries)
	return l, true
}

// learn keeps an answer without its ticket, which serves one call only.
func (b *book) learn(now clock.Time, l Location) {
	b.lock.Lock()
	defer b.lock.Unlock()
	l.Ticket = ""
	l.Entries = slices.Clone(l.Entries)
	b.location = l
	b.until = now.Add(l.Validity)
}

// forget takes an entry that failed out of the answer kept. An address of the
// settings is asked last for a while.
func (b *book) forget(now clock.Time, address string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.location.Entries = slices.DeleteFunc(b.location.Entries, func(e Entry) bool { return e.Address == address })
	b.failed = slices.DeleteFunc(b.failed, func(l lapse) bool { return l.address == address || !now.Before(l.until) })
	b.failed = append(b.failed, lapse{address: address, until: now.Add(askLater)})
}

// order returns the addresses to ask: those of the settings and of the last
// answer, and after them the ones that failed lately.
func (b *book) order(now clock.Time) []string {
	b.lock.Lock()
	defer b.lock.Unlock()
	all := slices.Clone(b.seeds)
	for _, e := range b.location.Entries {
		if !slices.Contains(all, e.Address) {
			all = append(all, e.Address)
		}
	}
	slices.SortStableFunc(all, func(x, y string) int { return b.rank(now, x) - b.rank(now, y) })
	return all
}

// rank is 1 for an entry that failed lately, else 0.
func (b *book) rank(now clock.Time, address string) int {
	if slices.ContainsFunc(b.failed, func(l lapse) bool { return l.address == address && now.Before(l.until) }) {
		return 1
	}
	return 0
}

// trip chooses the entry for each send of one request.
type trip struct {
	c *Client
	// call is named in locate requests; empty for completions.
	call string
	// queue is asked first, in order: where an entry redirected to.
	queue []string
	// avoid are the entries that failed this request.
	avoid []string
}

// next returns the address for the next send. When every entry has failed the
// request, it begins again.
func (t *trip) next(ctx context.Context) (string, error) {
	if len(t.queue) > 0 {
		address := t.queue[0]
		t.queue = t.queue[1:]
		return address, nil
	}
	l, err := t.c.entries(ctx, t.call)
	if err != nil {
		return "", err
	}
	for _, e := range l.Entries {
		if !slices.Contains(t.avoid, e.Address) {
			return e.Address, nil
		}
	}
	t.avoid = nil
	return l.Entries[0].Address, nil
}

// leave makes the next sends go elsewhere. Unless the entry answered, the client
// forgets it.
func (t *trip) leave(address string, answered bool) {
	t.avoid = append(t.avoid, address)
	if !answered {
		t.c.book.forget(t.c.config.Clock.Now(), address)
	}
}

// redirect makes the next sends go to the entries named.
func (t *trip) redirect(entries []Entry) {
	t.queue = nil
	for _, e := range entries {
		t.queue = append(t.queue, e.Address)
	}
}
