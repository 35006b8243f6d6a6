package gate

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a panic in a background task that ends the process and with it all requests.
func TestTaskContinuesAfterPanic(t *testing.T) {
	server := newBareServer()
	ctx, cancel := context.WithTimeout(t.Context(), connTestTimeout)
	defer cancel()
	calls := 0
	server.runEvery(ctx, "test", time.Millisecond, func(context.Context) {
		if calls++; calls == 1 {
			panic("first call")
		}
		cancel()
	})
	require.Equal(t, 2, calls)
	require.EqualValues(t, 1, server.metrics.panics.Count())
}

// panickingProtocol is a protocol that can't read a request's header.
type panickingProtocol struct{ plainProtocol }

func (panickingProtocol) RequestMeta(http.Header) RequestMeta { panic("header") }

// Guards against a caller without a response because of a panic before its request was accepted.
func TestEarlyPanicIsAnswered(t *testing.T) {
	server := newBareServer()
	server.protocol = panickingProtocol{}
	w := httptest.NewRecorder()
	server.serveCaller(w, httptest.NewRequest(http.MethodGet, "/", nil))
	require.Equal(t, http.StatusBadGateway, w.Code)
	require.EqualValues(t, 1, server.metrics.panics.Count())
}
