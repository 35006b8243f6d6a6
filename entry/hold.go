package entry

import (
	"time"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/core"
)

// Hold keeps the core from deciding for a while, as if the process had been
// stopped; tokens of streams in progress still pass. It is for trials, which run
// all entries in one process and can't stop one by a signal.
func (s *Server) Hold(d clock.Span) {
	look(s.shell, func(*core.Core, clock.Time) struct{} {
		time.Sleep(d.Duration())
		return struct{}{}
	})
}
