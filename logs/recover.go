package logs

import (
	"fmt"

	"go.uber.org/zap"
)

// RecoverPanic ends a panic of the current task, logs it with its stack and calls onPanic, which may
// be nil. It must be deferred directly, and only where no state that the task was changing can be
// left half changed.
func RecoverPanic(log *zap.Logger, task string, onPanic func()) {
	cause := recover()
	if cause == nil {
		return
	}
	ReportPanic(log, cause, zap.String("task", task))
	if onPanic != nil {
		onPanic()
	}
}

// ReportPanic logs a panic that was recovered, with its stack.
func ReportPanic(log *zap.Logger, cause any, fields ...zap.Field) {
	log.Error("panic", append(fields, zap.String("cause", fmt.Sprint(cause)), zap.Stack("stack"))...)
}
