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
	// listPeriod is the default time between reads: 390 entries make 39 calls a second.
	// The list itself lags by 30 s.
	listPeriod = 10 * clock.Second
	// emptyPeriod is the time between reads while the list is empty.
	emptyPeriod = 500 * clock.Millisecond
	// maxListSize is enough for about 10,000 instances.
	maxListSize ident.Bytes = 4 << 20
)

// ListReaderConfig configures a ListReader.
type ListReaderConfig struct {
	// URL is the base URL of the instance list.
	URL string
	// View selects the region whose view of the list is read.
	View ident.Region
	// Client makes the calls; nil creates one.
	Client *http.Client
	// Seed seeds the jitter.
	Seed uint64
	// Period is the time between reads; 0 means 10 s.
	Period clock.Span
	// OnError is called with the error of each failed call; it may be nil.
	OnError func(error)
}

// ListReader polls the platform's list of instances.
type ListReader struct {
	config       ListReaderConfig
	client       *http.Client
	backoff      *backoff
	etag         string // of the last list; empty if the platform sends none
	hasInstances bool   // the last list had instances
}

// NewListReader returns a ListReader; calls start with Run.
func NewListReader(config ListReaderConfig) *ListReader {
	if config.Period <= 0 {
		config.Period = listPeriod
	}
	return &ListReader{config: config, client: clientOrDefault(config.Client), backoff: newBackoff(config.Seed)}
}

// Run calls onList with each new list until ctx is cancelled, and returns the error of
// ctx. It returns early only with an error of KindConfig for an invalid URL. Rows without
// a valid name, role or address are skipped. A list that has become empty counts as a
// failed call, since the reader itself is an instance. Run must not be called concurrently.
func (l *ListReader) Run(ctx context.Context, onList func([]Instance)) error {
	defer l.client.CloseIdleConnections()
	for ctx.Err() == nil {
		minDelay, err := l.read(ctx, onList)
		switch {
		case ctx.Err() != nil:
		case err == nil:
			l.backoff.Reset()
			clock.Sleep(ctx, l.backoff.jitter(l.interval()))
		case fault.KindOf[Kind](err) == KindConfig:
			return err
		default:
			if l.config.OnError != nil {
				l.config.OnError(err)
			}
			clock.Sleep(ctx, l.backoff.nextDelay(minDelay))
		}
	}
	return ctx.Err()
}

// interval returns the time between reads. It is shorter until the first list with
// instances, since an entry takes no work before that.
func (l *ListReader) interval() clock.Span {
	if l.hasInstances {
		return l.config.Period
	}
	return min(l.config.Period, emptyPeriod)
}

// read makes one call. With an error it also returns the minimum delay requested by the
// platform.
func (l *ListReader) read(ctx context.Context, onList func([]Instance)) (clock.Span, error) {
	req, err := newRequest(ctx, l.config.URL, "v1", "instances")
	if err != nil {
		return 0, err
	}
	req.URL.RawQuery = url.Values{"view": {string(l.config.View)}}.Encode()
	if l.etag != "" {
		req.Header.Set("If-None-Match", l.etag)
	}
	got, err := fetch(ctx, l.client, req, readTimeout, maxListSize)
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
	if len(list) == 0 && l.hasInstances {
		return 0, fault.Newf("list", KindMalformed, "list has become empty")
	}
	onList(list)
	l.etag, l.hasInstances = got.header.Get("ETag"), len(list) > 0
	return 0, nil
}

// parseList decodes a list. Unknown fields are ignored, since the platform may add some.
func parseList(body []byte) ([]Instance, error) {
	var list struct {
		Instances []Instance `json:"instances"`
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, fault.Wrap("list", KindMalformed, err)
	}
	if list.Instances == nil {
		return nil, fault.Newf("list", KindMalformed, "missing field instances")
	}
	return slices.DeleteFunc(list.Instances, func(i Instance) bool { return !i.usable() }), nil
}

// usable reports whether the instance has a name, a known role and valid addresses.
func (i Instance) usable() bool {
	if i.Name == "" || i.Role != RoleEntry && i.Role != RoleEndpoint {
		return false
	}
	if i.Peer != "" && !isAddress(i.Peer) {
		return false
	}
	return isAddress(i.Address)
}

func isAddress(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() != 0
}
