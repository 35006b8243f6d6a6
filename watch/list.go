package watch

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// listPeriod makes 390 entries call 39 times a second. The list itself lags by 30 s.
	listPeriod = 10 * clock.Second
	// emptyPeriod is the time between reads while the list is empty.
	emptyPeriod = 500 * clock.Millisecond
	// maxList holds about 10,000 instances.
	maxList ident.Bytes = 4 << 20
)

// ListConfig configures a List.
type ListConfig struct {
	// URL is the base URL of the instance list.
	URL string
	// View is the region whose view of the list is read.
	View ident.Region
	// Client makes the calls; nil stands for a client of its own.
	Client *http.Client
	// Seed fixes the jitter.
	Seed uint64
	// Period is the time between two reads; 10 s if 0.
	Period clock.Span
	// Failed is told each failed call; it may be nil.
	Failed func(error)
}

// List reads the platform's list of instances.
type List struct {
	config  ListConfig
	client  *http.Client
	backoff *backoff
	tag     string // ETag of the last list, if the platform gives one
	filled  bool   // a list with instances was found
}

// NewList returns a List that makes no call before Run.
func NewList(c ListConfig) *List {
	if c.Period <= 0 {
		c.Period = listPeriod
	}
	return &List{config: c, client: newClient(c.Client), backoff: newBackoff(c.Seed)}
}

// Run calls found with each list until ctx is cancelled, and returns the error
// of ctx. It returns early only for a URL that can't be used. Rows that name no
// usable instance are left out. A list that has become empty counts as failed,
// as the reader itself is an instance. Run must not run twice at the same time.
func (l *List) Run(ctx context.Context, found func([]Instance)) error {
	defer l.client.CloseIdleConnections()
	for ctx.Err() == nil {
		least, err := l.read(ctx, found)
		switch {
		case ctx.Err() != nil:
		case err == nil:
			l.backoff.succeeded()
			clock.Sleep(ctx, l.backoff.jitter(l.period()))
		case fault.KindOf[Kind](err) == KindConfig:
			return err
		default:
			if l.config.Failed != nil {
				l.config.Failed(err)
			}
			clock.Sleep(ctx, l.backoff.failed(least))
		}
	}
	return ctx.Err()
}

// period is shorter until the first list with instances, since an entry takes no
// work before it.
func (l *List) period() clock.Span {
	if l.filled {
		return l.config.Period
	}
	return min(l.config.Period, emptyPeriod)
}

// read makes one call. On an error it also returns the wait that the platform asks for.
func (l *List) read(ctx context.Context, found func([]Instance)) (clock.Span, error) {
	req, err := newRequest(ctx, l.config.URL, "v1", "instances")
	if err != nil {
		return 0, err
	}
	req.URL.RawQuery = url.Values{"view": {string(l.config.View)}}.Encode()
	if l.tag != "" {
		req.Header.Set("If-None-Match", l.tag)
	}
	got, err := fetch(ctx, l.client, req, readTimeout, maxList)
	if err != nil {
		return got.retryAfter(), err
	}
	if got.status == http.StatusNotModified {
		return 0, nil
	}
	list, err := parseList(got.body)
	if err != nil {
		return 0, err
	}
	if len(list) == 0 && l.filled {
		return 0, fault.Newf("list", KindMalformed, "the list has become empty")
	}
	found(list)
	l.tag, l.filled = got.header.Get("ETag"), len(list) > 0
	return 0, nil
}

// parseList reads a list. Unknown fields are ignored, as the platform may add some.
func parseList(body []byte) ([]Instance, error) {
	var list struct {
		Instances []Instance `json:"instances"`
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, fault.Wrap("list", KindMalformed, err)
	}
	if list.Instances == nil {
		return nil, fault.Newf("list", KindMalformed, "no instances")
	}
	return slices.DeleteFunc(list.Instances, func(i Instance) bool { return !i.usable() }), nil
}

// usable reports whether the instance can be addressed.
func (i Instance) usable() bool {
	if i.Name == "" || i.Role != RoleEntry && i.Role != RoleEndpoint {
		return false
	}
	if i.Peer != "" && !isAddress(i.Peer) {
		return false
	}
	return isAddress(i.Address)
}

func isAddress(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() != 0
}
