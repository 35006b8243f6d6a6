package cmd

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/stream"
)

// newFakeEntry starts a fake entry that handles calls and completions with answer. It
// returns its address.
func newFakeEntry(t *testing.T, answer http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(caller.HeaderRequest, r.Header.Get(caller.HeaderRequest))
		if r.URL.Path != caller.PathLocate {
			answer(w, r)
			return
		}
		ticket := ""
		if strings.HasPrefix(r.URL.Query().Get("call"), "POST") {
			ticket = "t1"
		}
		_, _ = fmt.Fprintf(w, `{"entries":[{"name":"e1","address":%q,"region":"kzn"}],"validity":1000,"ticket":%q}`, r.Host, ticket)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func refuse(status int, ran, kind string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(caller.HeaderRan, ran)
		w.WriteHeader(status)
		_, _ = fmt.Fprintf(w, `{"error":{"kind":%q,"ran":%q,"request":%q}}`, kind, ran, w.Header().Get(caller.HeaderRequest))
	}
}

func run(args ...string) (status int, out, errOut string) {
	var o, e bytes.Buffer
	status = Run(context.Background(), append([]string{"tanagerbridge"}, args...), &o, &e)
	return status, o.String(), e.String()
}

// Guards against wrong exit statuses for done, not run and unknown, and against a
// ticket that is deleted while the outcome is unknown.
func TestSendCall(t *testing.T) {
	for name, c := range map[string]struct {
		answer http.HandlerFunc
		status int
		out    string
		kept   bool
	}{
		"done":    {answer: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("placed")) }, out: "placed"},
		"not run": {answer: refuse(http.StatusRequestEntityTooLarge, "no", "body"), status: exitNotRun},
		"gone":    {answer: refuse(http.StatusConflict, "yes", "gone"), status: exitGone},
		"unknown": {answer: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, status: exitUnknown, kept: true},
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "ticket")
			var sentTicket atomic.Value
			address := newFakeEntry(t, func(w http.ResponseWriter, r *http.Request) {
				text, err := os.ReadFile(file)
				ticket := r.Header.Get(caller.HeaderTicket)
				if err != nil || string(text) != ticket+"\n" {
					ticket = "not stored before use"
				}
				sentTicket.Store(ticket)
				c.answer(w, r)
			})
			status, out, errOut := run("send", "--entries", address, "--service", "orders", "--path", "/orders", "--body", "{}", "--keep", file)
			require.Equal(t, c.status, status, errOut)
			require.Equal(t, c.out, out)
			require.Equal(t, "t1", sentTicket.Load())
			require.Contains(t, errOut, "ticket: t1")
			require.Equal(t, c.kept, exists(file))
		})
	}
}

func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

// Guards against a resumed call that is sent under a new ticket.
func TestSendContinues(t *testing.T) {
	var ticket string
	address := newFakeEntry(t, func(_ http.ResponseWriter, r *http.Request) { ticket = r.Header.Get(caller.HeaderTicket) })
	file := filepath.Join(t.TempDir(), "ticket")
	require.NoError(t, os.WriteFile(file, []byte("old\n"), 0o600))
	for _, option := range [][]string{{"--keep", file}, {"--ticket", "old"}} {
		ticket = ""
		status, _, errOut := run(append([]string{"send", "--entries", address, "--service", "orders", "--path", "/orders"}, option...)...)
		require.Zero(t, status, errOut)
		require.Equal(t, "old", ticket)
	}
}

// Guards against a truncated completion that is printed as complete.
func TestSendPrompt(t *testing.T) {
	sends := 0
	address := newFakeEntry(t, func(w http.ResponseWriter, r *http.Request) {
		sends++
		id := ident.Request(r.Header.Get(caller.HeaderRequest))
		text := []string{"", "half", "whole"}[sends]
		_ = stream.Write(w, stream.Event{ID: 1, Data: stream.AppendChunk(nil, id, text, "")})
		if sends == 2 {
			_ = stream.Write(w, stream.Event{Done: true})
		}
	})
	status, out, errOut := run("send", "--entries", address, "--service", "assistant", "how", "wide?")
	require.Zero(t, status, errOut)
	require.Equal(t, "half\nwhole\n", out)
	require.Contains(t, errOut, "begins again")
	sends = 0
	_, out, _ = run("send", "--entries", address, "--service", "assistant", "--whole", "how wide?")
	require.Equal(t, "whole\n", out)

	address = newFakeEntry(t, refuse(http.StatusUnprocessableEntity, "no", "crash"))
	status, _, _ = run("send", "--entries", address, "--service", "assistant", "how wide?")
	require.Equal(t, exitNotRun, status)
}

// Guards against a locate response that is printed without its ticket.
func TestLocate(t *testing.T) {
	address := newFakeEntry(t, nil)
	status, out, errOut := run("locate", "--entries", address, "--service", "orders", "--call", "POST /orders")
	require.Zero(t, status, errOut)
	require.Contains(t, out, "e1     "+address+"  kzn\n")
	require.Contains(t, out, "ticket t1\n")
}
