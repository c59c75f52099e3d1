package logs

import (
	"fmt"
	"runtime/debug"

	"go.uber.org/zap"
)

// PanicError is a panic that ended the work on one task.
type PanicError struct{ Value any }

// Error returns the value of the panic. The log has the stack.
func (e *PanicError) Error() string {
	return fmt.Sprintf("the work on it failed unexpectedly: %v; see the log for the stack", e.Value)
}

// Recover is deferred by goroutines that work on one task, so that an unexpected error
// ends that task and not the process. It logs the panic with its stack and passes it to
// ended, if that is not nil.
func Recover(log *zap.Logger, task string, ended func(error)) {
	value := recover()
	if value == nil {
		return
	}
	log.Error("panic", zap.String("task", task), zap.Any("value", value), zap.ByteString("stack", debug.Stack()))
	if ended != nil {
		ended(&PanicError{Value: value})
	}
}
