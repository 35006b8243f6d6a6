package fleet_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Guards against marking an endpoint slow because of its queue or an uncached prompt, and
// against missing a slow endpoint whose late tokens have neither cause.
func TestExplainedDelays(t *testing.T) {
	tests := map[string]struct {
		queued int
		prefix ident.Prefix
		slow   bool
	}{
		"unexplained":   {slow: true},
		"cached prompt": {prefix: 7, slow: true},
		"cold prompt":   {prefix: 8},
		"queue":         {queued: 8},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			endpoints := newFleet(3)
			now := answerRounds(endpoints, 1000, 5, func(int) clock.Span { return 100 }, 3)
			endpoints.Candidates(now, service, region) // computes the medians
			report := ready
			report.Prefixes = []ident.Prefix{7}
			report.Running = tt.queued
			endpoints.Report(now, "e1", report)
			for i := range 5 {
				request := ident.Request(fmt.Sprint("late", i))
				endpoints.Begin(now, fleet.Attempt{Request: request, Number: 1, Endpoint: "e1", Service: service, ExpectedDuration: 1000, Prefix: tt.prefix})
				endpoints.RecordFirstToken(now.Add(500), request, 1)
				endpoints.End(now.Add(1000), request, 1, fleet.Complete, 50)
				now = now.Add(1000)
			}
			require.Equal(t, tt.slow, endpoints.Candidates(now, service, region)[1].Weight < 0.5)
		})
	}
}
