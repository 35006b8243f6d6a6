package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/clock"
)

// Guards against a caller that has closed its side for writing and takes the end of its unanswered
// request for a complete response.
func TestHalfClosedCallerGetsNoCompleteResponse(t *testing.T) {
	_, s := startDeployment(t)
	for _, d := range s.Services {
		d.SetLatency(2 * clock.Second)
	}
	for name, text := range map[string]string{
		"call":       "GET /v1/call/order-desk/stock?item=beaker HTTP/1.1\r\nHost: h\r\n\r\n",
		"completion": "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s",
	} {
		t.Run(name, func(t *testing.T) {
			if name == "completion" {
				body := `{"messages":[{"role":"user","content":"tell a long story"}],"max_tokens":2000,"stream":true}`
				text = fmt.Sprintf(text, len(body), body)
			}
			conn, err := net.Dial("tcp", s.CallerAddress(s.Regions()[0]))
			require.NoError(t, err)
			defer conn.Close() //nolint:errcheck // the test has what it needs
			require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
			_, err = io.WriteString(conn, text)
			require.NoError(t, err)
			require.NoError(t, conn.(*net.TCPConn).CloseWrite())
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return
			}
			defer response.Body.Close() //nolint:errcheck // the body is read
			body, err := io.ReadAll(response.Body)
			require.Error(t, err, "%d %q", response.StatusCode, body)
		})
	}
}
