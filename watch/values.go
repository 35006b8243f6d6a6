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
	defaultPeriod = 30 * clock.Second
	defaultWait   = 25 * clock.Second
	// quickShare and quickPolls shape the polls of a silent reader: at the default
	// period every 5 s, for about a minute.
	quickShare = 6
	quickPolls = 12
	// step is how often a sleeping reader looks whether it has become a watcher.
	step = clock.Second
	// watchPause follows each watch, so that a value that changes all the time
	// costs at most about 10 calls a second.
	watchPause = 100 * clock.Millisecond
	// shortWatch is the time below which a watch without news counts as failed;
	// without it, a platform that ignores the wait would be called all the time.
	shortWatch = clock.Second
	// maxValue is the largest value that the configuration service holds.
	maxValue ident.Bytes = 1 << 20
)

// ValuesConfig configures a Values.
type ValuesConfig struct {
	// URL is the base URL of the configuration service, Name the name of the value.
	URL, Name string
	// Client makes the calls; nil stands for a client of its own.
	Client *http.Client
	// Seed fixes the jitter.
	Seed uint64
	// Watching says whether this reader watches; nil never does. It is called
	// about once a second.
	Watching func() bool
	// Silent says that the news of a watcher are overdue, so that a reader that
	// does not watch polls more often for a while; nil never says so.
	Silent func() bool
	// Period is the time between two polls of a reader that does not watch; 30 s if 0.
	Period clock.Span
	// Wait is how long the platform may hold a watch; 25 s if 0.
	Wait clock.Span
	// Failed is told each failed call; it may be nil.
	Failed func(error)
}

// Values reads one value of the configuration service: by watching it if this
// entry is one of the watchers, else by polling it now and then.
type Values struct {
	config   ValuesConfig
	client   *http.Client
	backoff  *backoff
	revision string // of the last value found
	quick    int    // quick polls in a row
}

// NewValues returns a Values that makes no call before Run.
func NewValues(c ValuesConfig) *Values {
	if c.Period <= 0 {
		c.Period = defaultPeriod
	}
	if c.Wait <= 0 {
		c.Wait = defaultWait
	}
	return &Values{config: c, client: newClient(c.Client), backoff: newBackoff(c.Seed)}
}

// Run calls found with each new revision of the value until ctx is cancelled,
// and returns the error of ctx. It returns early only for a URL that can't be
// used. It must not run twice at the same time.
func (v *Values) Run(ctx context.Context, found func(value []byte)) error {
	defer v.client.CloseIdleConnections()
	for ctx.Err() == nil {
		watching := v.config.Watching != nil && v.config.Watching()
		least, err := v.read(ctx, watching, found)
		switch {
		case ctx.Err() != nil:
		case err == nil:
			v.backoff.succeeded()
			v.rest(ctx, watching)
		case fault.KindOf[Kind](err) == KindConfig:
			return err
		default:
			v.report(err)
			v.recover(ctx, watching, least)
		}
	}
	return ctx.Err()
}

// read makes one call. On an error it also returns the wait that the platform asks for.
func (v *Values) read(ctx context.Context, watching bool, found func([]byte)) (clock.Span, error) {
	req, err := newRequest(ctx, v.config.URL, "v1", "value", url.PathEscape(v.config.Name))
	if err != nil {
		return 0, err
	}
	query, timeout := url.Values{}, readTimeout
	if v.revision != "" {
		query.Set("after", v.revision)
	}
	if watching {
		query.Set("wait", strconv.FormatInt(int64(v.config.Wait), 10))
		timeout += v.config.Wait
	}
	req.URL.RawQuery = query.Encode()
	start := time.Now()
	got, err := fetch(ctx, v.client, req, timeout, maxValue)
	if err != nil {
		return got.retryAfter(), err
	}
	if fresh, err := v.take(got, found); fresh || err != nil {
		return 0, err
	}
	if watching && clock.Of(time.Since(start)) < min(shortWatch, v.config.Wait/2) {
		return 0, fault.Newf("watch", KindMalformed, "returned early without a new revision")
	}
	return 0, nil
}

// take passes on a value whose revision is new.
func (v *Values) take(got reply, found func([]byte)) (fresh bool, err error) {
	if got.status == http.StatusNotModified {
		return false, nil
	}
	revision := got.header.Get("Revision")
	if revision == "" {
		return false, fault.Newf("read", KindMalformed, "no revision")
	}
	if revision == v.revision {
		return false, nil
	}
	found(got.body)
	v.revision = revision
	return true, nil
}

// rest waits after a successful call until the next one is due.
func (v *Values) rest(ctx context.Context, watching bool) {
	if watching {
		clock.Sleep(ctx, v.backoff.jitter(watchPause))
		return
	}
	v.idle(ctx)
}

// recover waits after a failed call. A reader that has a value and does not
// watch takes its usual time, which spares a platform in trouble.
func (v *Values) recover(ctx context.Context, watching bool, least clock.Span) {
	wait := v.backoff.failed(least)
	if !watching && v.revision != "" {
		v.idle(ctx)
		return
	}
	clock.Sleep(ctx, wait)
}

// idle waits until the next poll of a reader that does not watch. It ends early
// when the reader becomes a watcher.
func (v *Values) idle(ctx context.Context) {
	usual := v.backoff.jitter(v.config.Period)
	pause := min(step, max(v.config.Period/quickShare/2, 1))
	start := time.Now()
	for clock.Sleep(ctx, pause) {
		silent := v.config.Silent != nil && v.config.Silent()
		if !silent {
			v.quick = 0
		}
		passed := clock.Of(time.Since(start))
		switch {
		case v.config.Watching != nil && v.config.Watching():
			return
		case passed >= usual:
			return
		case silent && v.quick < quickPolls && passed >= usual/quickShare:
			v.quick++
			return
		}
	}
}

func (v *Values) report(err error) {
	if v.config.Failed != nil {
		v.config.Failed(err)
	}
}
