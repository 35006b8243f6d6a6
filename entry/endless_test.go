package entry_test

import (
	"context"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/fakes"
)

// maxEndlessBytes bounds what the process may allocate for one answer without end, the fake engines and
// the caller in the same process included.
const maxEndlessBytes = 16 << 20

// endlessLimit is the time within which a request to such an engine must end.
const endlessLimit = 15 * time.Second

// Guards against engines whose answers do not end: they must not take the memory of the entry, hold
// requests for good, or harm the requests after them.
func TestEndlessAnswers(t *testing.T) {
	ctx, s := startDeployment(t)
	c := client(t, s, s.EngineService())
	for name, faults := range map[string]fakes.EngineFaults{
		"header":        {EndlessHeader: 1},
		"header line":   {EndlessLine: 1},
		"informational": {EndlessInformational: 1},
		"event":         {EndlessEvent: 1},
		"tokens":        {EndlessTokens: 1},
	} {
		t.Run(name, func(t *testing.T) {
			for _, e := range s.Engines {
				e.InjectFaults(faults)
			}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			limited, cancel := context.WithTimeout(ctx, endlessLimit)
			defer cancel()
			p := prompt("which lens for which bench")
			got, err := complete(limited, c, p)
			require.NoError(t, limited.Err(), "the request did not end")
			if err == nil {
				require.Equal(t, wantAnswer(p), got)
			}
			runtime.ReadMemStats(&after)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxEndlessBytes))
			for _, e := range s.Engines {
				e.InjectFaults(fakes.EngineFaults{})
			}
			for i := range 4 {
				p := prompt("which bench for which lens " + strconv.Itoa(i))
				got, err := complete(ctx, c, p)
				require.NoError(t, err)
				require.Equal(t, wantAnswer(p), got)
			}
		})
	}
}

// complete returns the text of a completion.
func complete(ctx context.Context, c *caller.Client, p caller.Prompt) (string, error) {
	var got strings.Builder
	_, err := c.Complete(ctx, p, caller.Sink{
		OnToken:   func(text string) { got.WriteString(text) },
		OnRestart: func(error) { got.Reset() },
	})
	return got.String(), err
}
