package gate

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Guards against requests that are kept for good because their endpoint has left after their connections broke.
func TestBrokenRequestsAreForgotten(t *testing.T) {
	now := clock.Time(1000)
	s := &state{brokenRequests: map[ident.Endpoint][]brokenRequest{
		"gone": {{brokenAt: now}}, "unframed": {{brokenAt: now, unframed: true}}, "recent": {{brokenAt: now}, {brokenAt: now.Add(brokenTerm)}},
	}}
	s.removeAllOutdated(now.Add(unframedTerm + 1))
	require.Len(t, s.brokenRequests, 2)
	s.removeAllOutdated(now.Add(brokenTerm + 1))
	require.Len(t, s.brokenRequests, 1)
	require.Len(t, s.brokenRequests["recent"], 1)
}
