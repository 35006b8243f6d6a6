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
	location, _, err := c.locate(ctx, call)
	return location, err
}

// currentEntries returns the entries to use. They depend on the service and the
// home only, so a cached response for one call is valid for all calls; the call
// is named because entries require it for a plain service.
func (c *Client) currentEntries(ctx context.Context, call string) (Location, error) {
	if location, ok := c.directory.cached(c.config.Clock.Now()); ok {
		return location, nil
	}
	location, _, err := c.locate(ctx, call)
	return location, err
}

// locate queries the known entries one after another until one answers.
func (c *Client) locate(ctx context.Context, call string) (Location, string, error) {
	var last error
	for _, address := range c.directory.candidates(c.config.Clock.Now()) {
		location, err := c.locateAt(ctx, address, call)
		if err == nil {
			return location, address, nil
		}
		if refusal := asRefusal(err); ctx.Err() != nil || refusal != nil && refusal.permanent() {
			return Location{}, "", err
		}
		last = err
	}
	return Location{}, "", fault.Wrap("locate", KindUnreachable, last)
}

// locateAt queries one entry and updates the directory with the result.
func (c *Client) locateAt(ctx context.Context, address, call string) (Location, error) {
	location, err := c.requestLocation(ctx, address, call)
	now := c.config.Clock.Now()
	if err == nil {
		c.directory.update(now, location)
		return location, nil
	}
	if ctx.Err() == nil && asRefusal(err) == nil {
		c.directory.markFailed(now, address)
	}
	return location, err
}

func (c *Client) requestLocation(ctx context.Context, address, call string) (Location, error) {
	var location Location
	ctx, cancel := context.WithTimeout(ctx, locateTimeout.Duration())
	defer cancel()
	current := attempt{address: address, method: http.MethodGet, path: c.locatePath(call)}
	current.request, current.attempt, current.allowMissingID = ident.Request(c.requestID()), 1, true
	response, err := c.do(ctx, current)
	if err != nil {
		return location, err
	}
	defer response.Body.Close() //nolint:errcheck // the body was read or is discarded
	body, err := c.readBody(response, current.method)
	if err != nil {
		return location, err
	}
	if response.StatusCode != http.StatusOK {
		return location, fault.Wrap("locate", KindRefused, error(parseErrorResponse(response, body)))
	}
	if err := json.Unmarshal(body, &location); err != nil {
		return location, fault.Wrap("locate", KindBroken, err)
	}
	if len(location.Entries) == 0 {
		return location, fault.Newf("locate", KindBroken, "response of %s lists no entries", address)
	}
	return location, nil
}

// parseErrorResponse returns the Refusal of a response that is known to be an error.
func parseErrorResponse(response reply, body []byte) *Refusal {
	if refusal := parseRefusal(response, body); refusal != nil {
		return refusal
	}
	var envelope Envelope
	_ = json.Unmarshal(body, &envelope)
	envelope.Error.Ran = RanUnknown
	if envelope.Error.Reason == "" {
		envelope.Error.Reason, envelope.Error.Message = reasonForStatus(response.StatusCode), response.Status
	}
	return &envelope.Error
}

func (c *Client) locatePath(call string) string {
	query := url.Values{"service": {string(c.config.Service)}}
	if c.config.Home != "" {
		query.Set("home", string(c.config.Home))
	}
	if call != "" {
		query.Set("call", call)
	}
	return PathLocate + "?" + query.Encode()
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
	location := d.cachedLocation
	location.Entries = slices.Clone(location.Entries)
	return location, true
}

// update caches a response without its ticket, which is valid for one call only.
func (d *directory) update(now clock.Time, location Location) {
	d.lock.Lock()
	defer d.lock.Unlock()
	location.Ticket = ""
	location.Entries = slices.Clone(location.Entries)
	d.cachedLocation = location
	d.cacheExpiry = now.Add(location.Validity)
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
	location, err := s.client.currentEntries(ctx, s.call)
	if err != nil {
		return "", err
	}
	for _, e := range location.Entries {
		if !slices.Contains(s.failed, e.Address) {
			return e.Address, nil
		}
	}
	s.failed = nil
	return location.Entries[0].Address, nil
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
