package gateway

import (
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// slowWriteTime is how long a write to a caller may take before its answer is read
	// ahead. Callers that keep up are never that slow, and it is short against the seconds
	// after which an upstream cuts off a response that is not read.
	slowWriteTime = 50 * time.Millisecond
	// lateWriteTime is how long a caller that was slow may take for lateWriteBytes after
	// the end of its request. What is ready is delivered late, but not held without end.
	lateWriteTime  = 5 * time.Second
	lateWriteBytes = 64 << 10
)

// callerOutput writes the body of a response to a caller. While a write is slow, it has the
// response read ahead. Only its own timer uses it concurrently.
type callerOutput struct {
	request *request
	w       http.ResponseWriter
	control *http.ResponseController
	timer   *time.Timer

	mu sync.Mutex
	// writing is set while a write is in progress, slow once one took slowWriteTime.
	writing, slow bool
	// bytes is the size of the present write.
	bytes int
	// source is what is read ahead, nil if nothing is left to read.
	source *readAhead
}

// newOutput returns the output for the response to the request.
func (q *request) newOutput(w http.ResponseWriter) *callerOutput {
	return &callerOutput{request: q, w: w, control: http.NewResponseController(w)}
}

// setSource sets what is read ahead while the caller is slow.
func (o *callerOutput) setSource(r *readAhead) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.source = r
}

// Write implements io.Writer.
func (o *callerOutput) Write(p []byte) (int, error) {
	o.begin(len(p))
	defer o.end()
	return o.w.Write(p)
}

// Flush sends what has been written.
func (o *callerOutput) Flush() error {
	o.begin(0)
	defer o.end()
	return o.control.Flush()
}

// begin starts to watch a write of n bytes.
func (o *callerOutput) begin(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writing, o.bytes = true, n
	if o.slow {
		o.setDeadline()
	}
	if o.timer == nil {
		o.timer = time.AfterFunc(slowWriteTime, o.onSlowWrite)
		return
	}
	o.timer.Reset(slowWriteTime)
}

// end ends what begin started.
func (o *callerOutput) end() {
	o.timer.Stop()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writing = false
}

// onSlowWrite starts to read ahead if a write is in progress.
func (o *callerOutput) onSlowWrite() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.writing {
		return
	}
	if !o.slow {
		o.slow = true
		o.setDeadline()
		q := o.request
		q.server.cfg.Metrics.Counter("slow_callers").Inc(1)
		q.server.cfg.Log.Info("caller reads slowly; its answer is held", q.fields(zap.Int64("held", q.server.memory.Used()))...)
	}
	if o.source != nil {
		o.source.start()
	}
}

// setDeadline limits the time of the present write.
func (o *callerOutput) setDeadline() {
	end := o.request.deadline
	if now := time.Now(); now.After(end) {
		end = now
	}
	// Writers without deadlines, as in tests, are not limited.
	steps := time.Duration(1 + o.bytes/lateWriteBytes)
	_ = o.control.SetWriteDeadline(end.Add(steps * lateWriteTime))
}

// finish ends a complete response. The connection may carry other responses after it, for
// which the deadline must not hold.
func (o *callerOutput) finish() {
	if !o.slow {
		return
	}
	if err := o.Flush(); err == nil {
		_ = o.control.SetWriteDeadline(time.Time{})
	}
}
