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
	log.Error("panic", zap.String("task", task), zap.String("cause", fmt.Sprint(cause)), zap.Stack("stack"))
	if onPanic != nil {
		onPanic()
	}
}
