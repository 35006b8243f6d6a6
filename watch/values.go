package watch

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	defaultPeriod       = 30 * clock.Second
	defaultWatchTimeout = 25 * clock.Second
	// quickDivisor and maxQuickPolls set the rate and number of polls while
	// ValueReaderConfig.UpdatesOverdue holds: at the default period every 5 s for about a minute.
	quickDivisor  = 6
	maxQuickPolls = 12
	// checkInterval is how often a waiting reader checks whether it has become a watcher.
	checkInterval = clock.Second
	// watchInterval is the pause between watches. It limits a constantly changing value
	// to about 10 calls a second.
	watchInterval = 100 * clock.Millisecond
	// minWatch is the duration below which a watch without a new revision counts as
	// failed. Without it, a platform that ignores the wait would be called in a tight loop.
	minWatch = clock.Second
	// maxValueSize is the largest value that the configuration service stores.
	maxValueSize ident.Bytes = 1 << 20
)

// ValueReaderConfig configures a ValueReader.
type ValueReaderConfig struct {
	// URL is the base URL of the configuration service; Name is the name of the value.
	URL, Name string
	// Client makes the calls; nil creates one.
	Client *http.Client
	// Seed seeds the jitter.
	Seed uint64
	// IsWatcher reports whether this reader watches (long-polls) the value; nil means it
	// never does. It is called about once a second.
	IsWatcher func() bool
	// UpdatesOverdue reports that updates from the watchers are overdue, so that a reader that
	// does not watch polls more often for a while; nil means they never are.
	UpdatesOverdue func() bool
	// Period is the time between polls of a reader that does not watch; 0 means 30 s.
	Period clock.Span
	// WatchTimeout is how long the platform may hold a watch; 0 means 25 s.
	WatchTimeout clock.Span
	// OnError is called with the error of each failed call; it may be nil.
	OnError func(error)
}

// ValueReader reads one value of the configuration service. Watchers use long polls; other
// readers poll periodically.
type ValueReader struct {
	config     ValueReaderConfig
	client     *http.Client
	backoff    *backoff
	revision   string // of the last value read
	quickPolls int    // consecutive quick polls
}

// NewValueReader returns a ValueReader; calls start with Run.
func NewValueReader(config ValueReaderConfig) *ValueReader {
	if config.Period <= 0 {
		config.Period = defaultPeriod
	}
	if config.WatchTimeout <= 0 {
		config.WatchTimeout = defaultWatchTimeout
	}
	return &ValueReader{config: config, client: clientOrDefault(config.Client), backoff: newBackoff(config.Seed)}
}

// Run calls onValue with each new revision of the value until ctx is cancelled, and
// returns the error of ctx. It returns early only with an error of KindConfig for an
// invalid URL. Run must not be called concurrently.
func (v *ValueReader) Run(ctx context.Context, onValue func(value []byte)) error {
	defer v.client.CloseIdleConnections()
	for ctx.Err() == nil {
		isWatcher := v.config.IsWatcher != nil && v.config.IsWatcher()
		minDelay, err := v.read(ctx, isWatcher, onValue)
		switch {
		case ctx.Err() != nil:
		case err == nil:
			v.backoff.Reset()
			v.awaitNext(ctx, isWatcher)
		case fault.KindOf[Kind](err) == KindConfig:
			return err
		default:
			v.reportError(err)
			v.awaitRetry(ctx, isWatcher, minDelay)
		}
	}
	return ctx.Err()
}

// read makes one call. With an error it also returns the minimum delay requested by the
// platform.
func (v *ValueReader) read(ctx context.Context, isWatcher bool, onValue func([]byte)) (clock.Span, error) {
	req, err := newRequest(ctx, v.config.URL, "v1", "value", url.PathEscape(v.config.Name))
	if err != nil {
		return 0, err
	}
	query, timeout := url.Values{}, readTimeout
	if v.revision != "" {
		query.Set("after", v.revision)
	}
	if isWatcher {
		query.Set("wait", strconv.FormatInt(int64(v.config.WatchTimeout), 10))
		timeout += v.config.WatchTimeout
	}
	req.URL.RawQuery = query.Encode()
	start := time.Now()
	got, err := fetch(ctx, v.client, req, timeout, maxValueSize)
	if err != nil {
		return got.retryAfter(), err
	}
	if fresh, err := v.accept(got, onValue); fresh || err != nil {
		return 0, err
	}
	if isWatcher && clock.FromDuration(time.Since(start)) < min(minWatch, v.config.WatchTimeout/2) {
		return 0, fault.Newf("watch", KindMalformed, "watch returned early without a new revision")
	}
	return 0, nil
}

// accept calls onValue if the response has a new revision, and reports whether it has.
func (v *ValueReader) accept(got response, onValue func([]byte)) (fresh bool, err error) {
	if got.status == http.StatusNotModified {
		return false, nil
	}
	revision := got.header.Get("Revision")
	if revision == "" {
		return false, fault.Newf("read", KindMalformed, "missing Revision header")
	}
	if revision == v.revision {
		return false, nil
	}
	onValue(got.body)
	v.revision = revision
	return true, nil
}

// awaitNext waits after a successful call until the next one is due.
func (v *ValueReader) awaitNext(ctx context.Context, isWatcher bool) {
	if isWatcher {
		clock.Sleep(ctx, v.backoff.jitter(watchInterval))
		return
	}
	v.awaitPoll(ctx)
}

// awaitRetry waits after a failed call. A reader that has a value and does not watch
// keeps its poll period, to limit the load on a failing platform.
func (v *ValueReader) awaitRetry(ctx context.Context, isWatcher bool, minDelay clock.Span) {
	wait := v.backoff.nextDelay(minDelay)
	if !isWatcher && v.revision != "" {
		v.awaitPoll(ctx)
		return
	}
	clock.Sleep(ctx, wait)
}

// awaitPoll waits until the next poll of a reader that does not watch. It returns early
// when the reader becomes a watcher.
func (v *ValueReader) awaitPoll(ctx context.Context) {
	interval := v.backoff.jitter(v.config.Period)
	step := min(checkInterval, max(v.config.Period/quickDivisor/2, 1))
	start := time.Now()
	for clock.Sleep(ctx, step) {
		overdue := v.config.UpdatesOverdue != nil && v.config.UpdatesOverdue()
		if !overdue {
			v.quickPolls = 0
		}
		elapsed := clock.FromDuration(time.Since(start))
		switch {
		case v.config.IsWatcher != nil && v.config.IsWatcher():
			return
		case elapsed >= interval:
			return
		case overdue && v.quickPolls < maxQuickPolls && elapsed >= interval/quickDivisor:
			v.quickPolls++
			return
		}
	}
}

func (v *ValueReader) reportError(err error) {
	if v.config.OnError != nil {
		v.config.OnError(err)
	}
}
