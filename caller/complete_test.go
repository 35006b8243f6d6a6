package caller_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/stream"
)

// newStreamEntry starts a fake entry that answers each attempt with one word of
// the script: tokens separated by "-", followed by "." for the final marker, "!"
// for an error event, "?" for a stream that hangs, or nothing for a truncated
// stream. "crossed" answers with another request id, "refused" with a refusal.
func newStreamEntry(t *testing.T, script string) *httptest.Server {
	t.Helper()
	words := strings.Fields(script)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := ident.Request(r.Header.Get(caller.HeaderRequest))
		w.Header().Set(caller.HeaderRequest, string(id))
		if r.URL.Path == caller.PathLocate {
			_, _ = w.Write([]byte(`{"entries":[{"name":"e","address":"` + r.Host + `"}],"validity":60000}`))
			return
		}
		word := words[0]
		words = words[1:]
		switch word {
		case "refused":
			w.Header().Set(caller.HeaderRan, "no")
			w.WriteHeader(http.StatusUnprocessableEntity)
			return
		case "crossed":
			id = "other"
			word = "x."
		}
		writeTokens(w, id, word)
		if strings.HasSuffix(word, "?") {
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	}))
	t.Cleanup(s.Close)
	return s
}

func writeTokens(w http.ResponseWriter, id ident.Request, word string) {
	for i, token := range strings.Split(strings.TrimRight(word, ".!?"), "-") {
		_ = stream.Write(w, stream.Event{ID: i + 1, Data: stream.AppendChunk(nil, id, token, "")})
	}
	switch word[len(word)-1] {
	case '.':
		_ = stream.Write(w, stream.Event{Done: true})
	case '!':
		_ = stream.WriteError(w, []byte(`{"error":{"kind":"endpoint","ran":"unknown"}}`))
	}
}

// Guards against a truncated completion that is reported as whole, and against
// mixed tokens of two completions.
func TestComplete(t *testing.T) {
	for name, c := range map[string]struct {
		script, text string
		restarts     int
		kind         caller.Kind
	}{
		"whole":             {script: "a-b.", text: "ab"},
		"broken":            {script: "a-b c-d.", text: "ab|cd", restarts: 1},
		"error event":       {script: "a! c-d.", text: "a|cd", restarts: 1},
		"hanging":           {script: "a? b.", text: "a|b", restarts: 1},
		"crossed":           {script: "crossed b.", text: "b"},
		"never complete":    {script: "a b c", text: "a|b|c", restarts: 2, kind: caller.KindBroken},
		"permanent refusal": {script: "refused", kind: caller.KindRefused},
		"refused midway":    {script: "a refused", text: "a|", restarts: 1, kind: caller.KindRefused},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStreamEntry(t, c.script)
			client, err := caller.New(caller.Config{
				Entries: []string{address(s)}, Service: "s", MaxAttempts: 3, Backoff: 1, StallTimeout: 200 * clock.Millisecond,
			})
			require.NoError(t, err)
			var text strings.Builder
			completion, err := client.Complete(t.Context(), caller.Prompt{}, caller.Sink{
				OnToken:   func(token string) { text.WriteString(token) },
				OnRestart: func(error) { text.WriteString("|") },
			})
			require.Equal(t, c.kind, kindOf(err), "%v", err)
			require.Equal(t, c.text, text.String())
			require.Equal(t, c.restarts, completion.Restarts)
		})
	}
}
