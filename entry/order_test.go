package entry

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/assign"
)

// Guards against a load slot that stays taken by an engine that was not reached, and
// against one that is freed although the engine may be loading.
func TestOrderFailure(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
	}()
	closed, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	for _, tc := range []struct {
		name    string
		address string
		want    assign.Result
	}{
		{"refused", closed.Addr().String(), assign.Deferred},
		{"dropped after it was sent", l.Addr().String(), assign.Failed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newClient()
			t.Cleanup(c.close)
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+tc.address+pathOrders, http.NoBody)
			require.NoError(t, err)
			resp, err := c.send(req, true)
			if err == nil {
				_ = resp.Body.Close()
			}
			require.Error(t, err)
			require.Equal(t, tc.want, resultOfError(err))
		})
	}
}
