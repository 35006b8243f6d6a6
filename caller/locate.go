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
	// locateTimeout bounds one locate request. Entries answer it from memory, so
	// an entry that takes longer is unusable.
	locateTimeout = 3 * clock.Second
	// failurePenalty is how long a failed entry is tried only after all others.
	failurePenalty = 10 * clock.Second
)

// Locate returns the entries to use, in order of preference. The response is
// cached for its validity. Call is empty, or "METHOD /path" for a call of a plain
// service; with a call the cache is bypassed, because the response may hold a ticket.
func (c *Client) Locate(ctx context.Context, call string) (Location, error) {
	if call == "" {
		return c.currentEntries(ctx, "")
	}
	l, _, err := c.locate(ctx, call)
	return l, err
}

// currentEntries returns the entries to use. They depend on the service and the
// home only, so a cached response for one call is valid for all calls; the call
// is named because entries require it for a plain service.
func (c *Client) currentEntries(ctx context.Context, call string) (Location, error) {
	if l, ok := c.directory.cached(c.config.Clock.Now()); ok {
		return l, nil
	}
	l, _, err := c.locate(ctx, call)
	return l, err
}

// locate queries the known entries one after another until one answers.
func (c *Client) locate(ctx context.Context, call string) (Location, string, error) {
	var last error
	for _, address := range c.directory.candidates(c.config.Clock.Now()) {
		l, err := c.locateAt(ctx, address, call)
		if err == nil {
			return l, address, nil
		}
		if r := asRefusal(err); ctx.Err() != nil || r != nil && r.permanent() {
			return Location{}, "", err
		}
		last = err
	}
	return Location{}, "", fault.Wrap("locate", KindUnreachable, last)
}

// locateAt queries one entry and updates the directory with the result.
func (c *Client) locateAt(ctx context.Context, address, call string) (Location, error) {
	l, err := c.requestLocation(ctx, address, call)
	now := c.config.Clock.Now()
	if err == nil {
		c.directory.update(now, l)
		return l, nil
	}
	if ctx.Err() == nil && asRefusal(err) == nil {
		c.directory.markFailed(now, address)
	}
	return l, err
}

func (c *Client) requestLocation(ctx context.Context, address, call string) (Location, error) {
	var l Location
	ctx, cancel := context.WithTimeout(ctx, locateTimeout.Duration())
	defer cancel()
	a := attempt{address: address, method: http.MethodGet, path: c.locatePath(call)}
	a.request, a.attempt, a.allowMissingID = ident.Request(c.requestID()), 1, true
	r, err := c.do(ctx, a)
	if err != nil {
		return l, err
	}
	defer r.Body.Close() //nolint:errcheck // the body was read or is discarded
	body, err := c.readBody(r, a.method)
	if err != nil {
		return l, err
	}
	if r.StatusCode != http.StatusOK {
		return l, fault.Wrap("locate", KindRefused, error(parseErrorResponse(r, body)))
	}
	if err := json.Unmarshal(body, &l); err != nil {
		return l, fault.Wrap("locate", KindBroken, err)
	}
	if len(l.Entries) == 0 {
		return l, fault.Newf("locate", KindBroken, "response of %s lists no entries", address)
	}
	return l, nil
}

// parseErrorResponse returns the Refusal of a response that is known to be an error.
func parseErrorResponse(r reply, body []byte) *Refusal {
	if refusal := parseRefusal(r, body); refusal != nil {
		return refusal
	}
	var e Envelope
	_ = json.Unmarshal(body, &e)
	e.Error.Ran = RanUnknown
	if e.Error.Reason == "" {
		e.Error.Reason, e.Error.Message = reasonForStatus(r.StatusCode), r.Status
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

// directory holds the entries known to a client.
type directory struct {
	lock           sync.Mutex
	bootstrap      []string
	penalties      []penalty
	cachedLocation Location
	cacheExpiry    clock.Time
}

// penalty marks a failed entry that is tried last until a time.
type penalty struct {
	address string
	until   clock.Time
}

func newDirectory(seeds []string) *directory { return &directory{bootstrap: slices.Clone(seeds)} }

func (d *directory) cached(now clock.Time) (Location, bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if len(d.cachedLocation.Entries) == 0 || !now.Before(d.cacheExpiry) {
		return Location{}, false
	}
	l := d.cachedLocation
	l.Entries = slices.Clone(l.Entries)
	return l, true
}

// update caches a response without its ticket, which is valid for one call only.
func (d *directory) update(now clock.Time, l Location) {
	d.lock.Lock()
	defer d.lock.Unlock()
	l.Ticket = ""
	l.Entries = slices.Clone(l.Entries)
	d.cachedLocation = l
	d.cacheExpiry = now.Add(l.Validity)
}

// markFailed removes a failed entry from the cached response. If it is a
// bootstrap address, it is tried last during the penalty.
func (d *directory) markFailed(now clock.Time, address string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.cachedLocation.Entries = slices.DeleteFunc(d.cachedLocation.Entries, func(e Entry) bool { return e.Address == address })
	d.penalties = slices.DeleteFunc(d.penalties, func(p penalty) bool { return p.address == address || !now.Before(p.until) })
	d.penalties = append(d.penalties, penalty{address: address, until: now.Add(failurePenalty)})
}

// candidates returns the addresses to query: the bootstrap addresses, those of
// the last response, and at the end the ones under a penalty.
func (d *directory) candidates(now clock.Time) []string {
	d.lock.Lock()
	defer d.lock.Unlock()
	all := slices.Clone(d.bootstrap)
	for _, e := range d.cachedLocation.Entries {
		if !slices.Contains(all, e.Address) {
			all = append(all, e.Address)
		}
	}
	slices.SortStableFunc(all, func(x, y string) int { return d.rank(now, x) - d.rank(now, y) })
	return all
}

// rank returns 1 for an entry under a penalty, else 0.
func (d *directory) rank(now clock.Time, address string) int {
	if slices.ContainsFunc(d.penalties, func(p penalty) bool { return p.address == address && now.Before(p.until) }) {
		return 1
	}
	return 0
}

// entrySelector selects the entry for each attempt of one request.
type entrySelector struct {
	client *Client
	// call is named in locate requests; empty for completions.
	call string
	// redirects are the addresses named by a redirect; they are tried first, in order.
	redirects []string
	// failed lists the entries that failed this request.
	failed []string
}

// next returns the address for the next attempt. It starts over once every entry
// has failed the request.
func (s *entrySelector) next(ctx context.Context) (string, error) {
	if len(s.redirects) > 0 {
		address := s.redirects[0]
		s.redirects = s.redirects[1:]
		return address, nil
	}
	l, err := s.client.currentEntries(ctx, s.call)
	if err != nil {
		return "", err
	}
	for _, e := range l.Entries {
		if !slices.Contains(s.failed, e.Address) {
			return e.Address, nil
		}
	}
	s.failed = nil
	return l.Entries[0].Address, nil
}

// markFailed excludes an entry from the next attempts. Unless the entry answered,
// it is also marked as failed in the directory.
func (s *entrySelector) markFailed(address string, answered bool) {
	s.failed = append(s.failed, address)
	if !answered {
		s.client.directory.markFailed(s.client.config.Clock.Now(), address)
	}
}

// redirect directs the next attempts to the given entries.
func (s *entrySelector) redirect(entries []Entry) {
	s.redirects = nil
	for _, e := range entries {
		s.redirects = append(s.redirects, e.Address)
	}
}
