package entry

import (
	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/logs"
)

// exitPanic is the exit status after a panic in the core.
const exitPanic = 3

func (s *Server) countPanic() { s.metrics.panics.Inc(1) }

// endOnPanic ends the process after a panic in the core, whose state may be half changed. It must be
// deferred directly.
func (s *shell) endOnPanic() {
	if cause := recover(); cause != nil {
		logs.ReportPanic(s.log, cause, zap.String("task", "core"))
		_ = s.log.Sync()
		s.exit(exitPanic)
	}
}

// internalError is the refusal of a request whose handler has panicked. It may have run.
func internalError() *core.Refusal {
	return &core.Refusal{Reason: caller.ReasonUnknown, Ran: caller.RanUnknown, Text: "internal error"}
}
