package entry

import (
	"time"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/core"
)

// BlockCore blocks the core for the span, as if the process had been stopped; streams in progress
// still forward tokens. It is for trials, which run all entries in one process and can't
// stop a single one with a signal.
func (s *Server) BlockCore(span clock.Span) {
	withCore(s.shell, func(*core.Core, clock.Time) struct{} {
		time.Sleep(span.Duration())
		return struct{}{}
	})
}
