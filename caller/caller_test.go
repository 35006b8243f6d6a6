package caller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/stream"
)

// entryPair is a pair of fake entries, A and B, that answer as scripted.
type entryPair struct {
	lock    sync.Mutex
	a, b    *httptest.Server
	entries []caller.Entry
	script  []string
	// sends holds "ENTRY TICKET" for each attempt.
	sends          []string
	issuedTickets  int
	locateRequests int
}

// newEntryPair starts both entries. Each word of the script answers one attempt.
// Locate issues tickets only if issuesTickets is set.
func newEntryPair(t *testing.T, script string, issuesTickets bool) *entryPair {
	t.Helper()
	pair := &entryPair{script: strings.Fields(script)}
	serve := func(name string) *httptest.Server {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			pair.lock.Lock()
			defer pair.lock.Unlock()
			w.Header().Set(caller.HeaderRequest, r.Header.Get(caller.HeaderRequest))
			if r.URL.Path == caller.PathLocate {
				pair.locate(w, r.URL.Query().Get("call"), name, issuesTickets)
				return
			}
			pair.answer(w, r, name)
		}))
		t.Cleanup(s.Close)
		return s
	}
	pair.a, pair.b = serve("A"), serve("B")
	pair.entries = []caller.Entry{{Name: "A", Address: address(pair.a)}, {Name: "B", Address: address(pair.b)}}
	return pair
}

func address(s *httptest.Server) string { return s.Listener.Addr().String() }

// locate answers as an entry does for a plain service, where the call is required.
func (p *entryPair) locate(w http.ResponseWriter, call, name string, issuesTickets bool) {
	p.locateRequests++
	if call == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l := caller.Location{Entries: p.entries, Validity: clock.Minute}
	allowed := slices.ContainsFunc(p.entries, func(e caller.Entry) bool { return string(e.Name) == name })
	if issuesTickets && allowed && strings.HasPrefix(call, http.MethodPost) {
		l.Ticket = p.ticket(name)
	}
	_ = json.NewEncoder(w).Encode(l)
}

func (p *entryPair) ticket(name string) string {
	p.issuedTickets++
	return fmt.Sprintf("%s%d", name, p.issuedTickets)
}

func (p *entryPair) answer(w http.ResponseWriter, r *http.Request, name string) {
	p.sends = append(p.sends, strings.TrimSpace(name+" "+r.Header.Get(caller.HeaderTicket)))
	word := "ok"
	if len(p.script) > 0 {
		word, p.script = p.script[0], p.script[1:]
	}
	switch word {
	case "ok":
		w.Header().Set(caller.HeaderRan, string(caller.RanYes))
		_, _ = w.Write([]byte("placed"))
	case "own503": // a response of the service that looks like a refusal
		w.Header().Set(caller.HeaderRan, string(caller.RanYes))
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"error":{"kind":"overload","ran":"yes"}}`))
	case "crossed":
		w.Header().Set(caller.HeaderRequest, "other")
	case "cut":
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("pla"))
	case "drop":
		panic(http.ErrAbortHandler)
	default:
		p.refuse(w, name, word)
	}
}

// refuse answers with the refusal STATUS/REASON/RAN. The suffix "+ticket" adds a
// new ticket and "+B" names entry B.
func (p *entryPair) refuse(w http.ResponseWriter, name, word string) {
	word, extra, _ := strings.Cut(word, "+")
	var status int
	parts := strings.Split(word, "/")
	_, _ = fmt.Sscan(parts[0], &status)
	e := caller.Envelope{Error: caller.Refusal{
		Reason: caller.Reason(parts[1]), Ran: caller.Ran(parts[2]), Request: ident.Request(w.Header().Get(caller.HeaderRequest)),
	}}
	switch extra {
	case "ticket":
		e.Error.Ticket = p.ticket(name)
	case "B":
		e.Error.Entries = p.entries[1:]
	}
	w.Header().Set(caller.HeaderRan, parts[2])
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(e)
}

func (p *entryPair) client(t *testing.T, waits *[]clock.Span) *caller.Client {
	t.Helper()
	c, err := caller.New(caller.Config{
		Entries: []string{address(p.a), address(p.b)}, Service: "orders", Seed: 1, Clock: new(clock.Manual),
		Sleep: func(_ context.Context, s clock.Span) error {
			if waits != nil {
				*waits = append(*waits, s)
			}
			return nil
		},
	})
	require.NoError(t, err)
	return c
}

// Guards against a non-idempotent call that is executed twice, and against an
// outcome that is reported as done or not run although it is uncertain.
func TestCallOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		script string
		log    string
		state  caller.State
		kind   caller.Kind
	}{
		"answered":                 {"ok", "A A1", caller.Done, ""},
		"the service's own 503":    {"own503", "A A1", caller.Done, ""},
		"broken, same ticket":      {"drop ok", "A A1,A A1", caller.Done, ""},
		"cut answer, same ticket":  {"cut ok", "A A1,A A1", caller.Done, ""},
		"crossed, same ticket":     {"crossed ok", "A A1,A A1", caller.Done, ""},
		"broken twice, then other": {"drop drop ok", "A A1,A A1,B A1", caller.Done, ""},
		"voided by the other":      {"drop drop 410/void/no+ticket ok", "A A1,A A1,B A1,B B2", caller.Done, ""},
		"fresh ticket asked for":   {"410/expired/no ok", "A A1,A A2", caller.Done, ""},
		"running at the owner":     {"421/owner/unknown+B ok", "A A1,B A1", caller.Done, ""},
		"other region":             {"421/region/no+B 410/void/no+ticket ok", "A A1,B A1,B B2", caller.Done, ""},
		"draining":                 {"503/draining/no 410/void/no+ticket ok", "A A1,B A1,B B2", caller.Done, ""},
		"executed at the owner":    {"421/owner/yes+B ok", "A A1,B A1", caller.Done, ""},
		"refused, but is running":  {"503/draining/yes ok", "A A1,B A1", caller.Done, ""},
		"refused, but was run":     {"413/body/yes", "A A1", caller.Done, caller.KindResponseUnavailable},
		"endpoint failed":          {"502/endpoint/yes", "A A1", caller.Done, caller.KindResponseUnavailable},
		"answer gone":              {"409/gone/yes", "A A1", caller.Done, caller.KindResponseUnavailable},
		"permanent refusal":        {"413/body/no", "A A1", caller.NotRun, caller.KindRefused},
		"always overloaded":        {strings.Repeat("503/overload/no ", 6), "A A1,B A1,A A1,B A1,A A1,B A1", caller.NotRun, caller.KindRefused},
		"unknown":                  {strings.Repeat("504/unknown/unknown ", 6), "A A1,B A1,A A1,B A1,A A1,B A1", caller.Unknown, caller.KindUnresolved},
		"refused, may have run":    {"drop 413/body/no", "A A1,A A1", caller.Unknown, caller.KindUnresolved},
		"ticket, may have run":     {"drop 503/overload/no+ticket ok", "A A1,A A1,B A1", caller.Done, ""},
		"header and body disagree": {"503/overload/maybe 413/body/no", "A A1,B A1", caller.Unknown, caller.KindUnresolved},
		"void, but perhaps run":    {"410/void/unknown+ticket 413/body/no", "A A1,B A1", caller.Unknown, caller.KindUnresolved},
	} {
		t.Run(name, func(t *testing.T) {
			pair := newEntryPair(t, c.script, true)
			out, err := pair.client(t, nil).Call(t.Context(), http.MethodPost, "/orders?x=1", []byte(`{}`))
			require.Equal(t, c.state, out.State, "%v", err)
			require.Equal(t, c.log, strings.Join(pair.sends, ","))
			require.Equal(t, c.kind, kindOf(err), "%v", err)
			if c.kind == "" && out.Status == http.StatusOK {
				require.Equal(t, "placed", string(out.Body))
			}
		})
	}
}

func kindOf(err error) caller.Kind {
	if e, ok := err.(*caller.Error); ok { //nolint:errorlint // only the outermost kind counts
		return e.Kind
	}
	return ""
}

// Guards against a call without a ticket that is not retried with one, and
// against a ticket that is requested for a safe method.
func TestCallWithoutTicket(t *testing.T) {
	pair := newEntryPair(t, "428/ticket/no+ticket ok", false)
	out, err := pair.client(t, nil).Call(t.Context(), http.MethodPost, "/orders", nil)
	require.NoError(t, err)
	require.Equal(t, "A1", out.Ticket)
	require.Equal(t, []string{"A", "A A1"}, pair.sends)

	pair = newEntryPair(t, "ok", true) // A is outside the allowed regions
	pair.entries = pair.entries[1:]
	_, err = pair.client(t, nil).Call(t.Context(), http.MethodPost, "/orders", nil)
	require.NoError(t, err)
	require.Equal(t, []string{"B B1"}, pair.sends)

	pair = newEntryPair(t, "502/endpoint/yes ok", true)
	_, err = pair.client(t, nil).Call(t.Context(), http.MethodGet, "/stock", nil)
	require.NoError(t, err)
	require.Equal(t, []string{"A", "B"}, pair.sends)

	pair = newEntryPair(t, "drop ok", true)
	_, err = pair.client(t, nil).Call(t.Context(), http.MethodGet, "/stock", nil)
	require.NoError(t, err)
	require.Equal(t, []string{"A", "B"}, pair.sends)
}

// Guards against a resumed call that is executed under a second ticket after a
// refusal that does not concern the first.
func TestResume(t *testing.T) {
	pair := newEntryPair(t, "503/unready/no+ticket ok", true)
	out, err := pair.client(t, nil).Resume(t.Context(), "old", http.MethodPost, "/orders", nil)
	require.NoError(t, err)
	require.Equal(t, caller.Done, out.State)
	require.Equal(t, []string{"A old", "B old"}, pair.sends)
}

// Guards against a call that is sent under a ticket that could not be stored.
func TestTicketNotKept(t *testing.T) {
	pair := newEntryPair(t, "", true)
	c, err := caller.New(caller.Config{
		Entries: []string{address(pair.a)}, Service: "orders",
		OnTicket: func(string) error { return errors.New("disk full") },
	})
	require.NoError(t, err)
	out, err := c.Call(t.Context(), http.MethodPost, "/orders", nil)
	require.Equal(t, caller.KindInvalid, kindOf(err))
	require.Equal(t, caller.NotRun, out.State)
	require.Empty(t, pair.sends)
}

// Guards against the outcome "unknown" for a call that can't have reached an entry.
func TestUnreachable(t *testing.T) {
	pair := newEntryPair(t, "", true)
	c := pair.client(t, nil)
	pair.a.Close()
	pair.b.Close()
	out, err := c.Call(t.Context(), http.MethodPost, "/orders", nil)
	require.Equal(t, caller.NotRun, out.State)
	require.Equal(t, caller.KindUnreachable, kindOf(err))
}

// Guards against retries before the requested delay has passed, and against a
// back-off after an entry redirected the call.
func TestRetryAfter(t *testing.T) {
	var waits []clock.Span
	pair := newEntryPair(t, "drop ok", true)
	_, err := pair.client(t, &waits).Call(t.Context(), http.MethodPost, "/orders", nil)
	require.NoError(t, err)
	require.Len(t, waits, 1)
	require.Less(t, waits[0], clock.Second)

	waits = nil
	pair = newEntryPair(t, "421/region/no+B 410/void/no+ticket ok", true)
	_, err = pair.client(t, &waits).Call(t.Context(), http.MethodPost, "/orders", nil)
	require.NoError(t, err)
	require.Empty(t, waits)

	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(caller.HeaderRequest, r.Header.Get(caller.HeaderRequest))
		w.Header().Set(caller.HeaderRan, "no")
		w.Header().Set("Retry-After", "7")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer s.Close()
	pair.entries = []caller.Entry{{Name: "C", Address: address(s)}}
	waits = nil
	_, err = pair.client(t, &waits).Call(t.Context(), http.MethodGet, "/stock", nil)
	require.Equal(t, caller.KindRefused, kindOf(err))
	require.Equal(t, []clock.Span{7000, 7000, 7000, 7000, 7000}, waits)
}

// Guards against a locate request per call, and against calls to a failed entry.
func TestLocateCache(t *testing.T) {
	var now clock.Manual
	pair := newEntryPair(t, "", false)
	c, err := caller.New(caller.Config{Entries: []string{address(pair.a), address(pair.b)}, Service: "s", Clock: &now})
	require.NoError(t, err)
	for range 3 {
		_, err := c.Call(t.Context(), http.MethodGet, "/stock", nil)
		require.NoError(t, err)
	}
	require.Equal(t, 1, pair.locateRequests)
	now.Advance(clock.Minute)
	pair.a.Close()
	out, err := c.Call(t.Context(), http.MethodGet, "/stock", nil)
	require.NoError(t, err)
	require.Equal(t, 2, pair.locateRequests)
	require.Equal(t, address(pair.b), out.Address)
	require.Equal(t, []string{"A", "A", "A", "B"}, pair.sends)
}

func ExampleClient_Complete() {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(caller.HeaderRequest)
		w.Header().Set(caller.HeaderRequest, id)
		if r.URL.Path == caller.PathLocate {
			_, _ = fmt.Fprintf(w, `{"entries":[{"name":"e1","address":%q}],"validity":1000}`, r.Host)
			return
		}
		data := stream.AppendChunk(nil, ident.Request(id), "Three metres.", "stop")
		_ = stream.Write(w, stream.Event{ID: 1, Data: data})
		_ = stream.Write(w, stream.Event{Done: true})
	}))
	defer s.Close()
	c, err := caller.New(caller.Config{Entries: []string{s.Listener.Addr().String()}, Service: "assistant"})
	if err != nil {
		fmt.Println(err)
		return
	}
	prompt := caller.Prompt{Messages: []caller.Message{{Role: "user", Content: "How wide?"}}}
	answer, err := c.Complete(context.Background(), prompt, caller.Sink{OnToken: func(t string) { fmt.Println(t) }})
	fmt.Println(answer.Tokens, answer.FinishReason, answer.Attempts, err)
	// Output:
	// Three metres.
	// 1 stop 1 <nil>
}
