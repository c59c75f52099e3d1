package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/dispatch/transport"
	"hawthornhub.example/hawthornhub/internal/serve/balance"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

const (
	// maxBufferedBytes is how much of a response that is not a stream is read
	// before any of it is forwarded.
	maxBufferedBytes = 256 << 10
	// copyBufferBytes is the size of the buffer for forwarding a response.
	copyBufferBytes = 16 << 10
)

// errBadEvent reports that a stream ended in the middle of an event or, where only the
// connection tells its end, before the first one, or that an event is longer than
// maxEventBytes.
var errBadEvent = errors.New("incomplete, missing or oversized event in the stream")

// errNoMemory reports that the incomplete events of all streams hold as much as they may.
var errNoMemory = errors.New("no memory for a long event of the stream; the upstream sends no end of it")

// respond forwards a response to the caller.
func (q *request) respond(ctx context.Context, w http.ResponseWriter, a *transport.Answered) {
	if q.route.Kind == site.Streaming && a.Status == http.StatusOK {
		q.respondStream(ctx, w, a)
		return
	}
	for {
		f, retry := q.respondBuffered(ctx, w, a)
		if f == nil {
			return
		}
		if retry {
			if a, f = q.forward(ctx); f == nil {
				continue
			}
		}
		q.server.writeFailure(w, q, f)
		return
	}
}

// respondBuffered reads up to maxBufferedBytes of a response before it forwards
// any of it. If the body is interrupted before that, the caller can still get an
// error status; the returned bool reports whether the request may be retried
// instead.
func (q *request) respondBuffered(ctx context.Context, w http.ResponseWriter, a *transport.Answered) (*failure, bool) {
	held := q.answerMemory()
	defer held.hold.Close()
	body, more, err := readBuffered(a.Body, held)
	if len(body) > 0 {
		q.begunAt = time.Now()
	}
	if !more {
		a.Close()
		if err == nil && a.Status < http.StatusMultipleChoices {
			q.server.cfg.Balancer.Begun(time.Now(), q.choice)
		}
		q.server.cfg.Balancer.End(time.Now(), q.choice, balance.DoneInfo{Failed: err != nil && ctx.Err() == nil || upstreamFailed(a)})
	}
	if err != nil {
		q.recordBreak(ctx, err)
		f := badGateway("the upstream's answer broke off", err)
		if ctx.Err() != nil {
			return q.contextFailure(f), false
		}
		return f, q.idempotent() && q.allowRetry(q.upstream, "response interrupted", err)
	}
	length := a.Length
	if !more {
		length = int64(len(body))
	}
	q.writeHeader(w, a, length)
	out := q.newOutput(w)
	if more {
		q.copyRest(ctx, out, a, body, held)
		return nil, false
	}
	written, err := out.Write(body)
	if err == nil {
		out.finish()
	}
	if err != nil {
		q.server.cfg.Log.Info("could not write response to caller", q.fields(zap.Error(err))...)
		return nil, false
	}
	q.recordAnswered(a.Status, int64(written))
	return nil, false
}

// readBuffered reads a body up to maxBufferedBytes, or up to freeHeldBytes if there is no
// memory for more. The returned bool reports whether more may follow.
func readBuffered(r io.Reader, held answerMemory) ([]byte, bool, error) {
	body, err := io.ReadAll(io.LimitReader(r, freeHeldBytes))
	if err != nil || len(body) < freeHeldBytes {
		return body, false, err
	}
	if !held.resize(maxBufferedBytes) {
		return body, true, nil
	}
	rest, err := io.ReadAll(io.LimitReader(r, maxBufferedBytes-freeHeldBytes))
	return append(body, rest...), err == nil && len(rest) == maxBufferedBytes-freeHeldBytes, err
}

// copyRest forwards a response that exceeds maxBufferedBytes. beginning is what was read
// of it, and held the memory of that.
func (q *request) copyRest(ctx context.Context, out *callerOutput, a *transport.Answered, beginning []byte, held answerMemory) {
	source := q.newReadAhead(ctx, a.Body)
	out.setSource(source)
	n, err := out.Write(beginning)
	written := int64(n)
	held.hold.Close()
	if err == nil {
		var n int64
		n, err = io.CopyBuffer(out, source, make([]byte, copyBufferBytes))
		written += n
	}
	a.Close()
	out.setSource(nil)
	source.close()
	q.server.cfg.Balancer.End(time.Now(), q.choice, balance.DoneInfo{Failed: err != nil && q.http.Context().Err() == nil})
	if err != nil {
		q.abort("answer cut", written, err)
	}
	out.finish()
	q.recordAnswered(a.Status, written)
}

// writeHeader writes the status and headers of a response. A negative length
// means that the length is not known.
func (q *request) writeHeader(w http.ResponseWriter, a *transport.Answered, length int64) {
	h := w.Header()
	for name, values := range q.server.cfg.Headers.ToCaller(a.Header) {
		h[name] = values
	}
	h.Del("Content-Length")
	if length >= 0 && bodyAllowed(a.Status) {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	// A nil value keeps net/http from adding a header that the upstream did not
	// send.
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	w.WriteHeader(a.Status)
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// abort closes the caller's connection in the middle of a response, so that the
// response does not look complete.
func (q *request) abort(message string, written int64, err error) {
	q.server.cfg.Metrics.Counter("cut").Inc(1)
	q.server.cfg.Log.Warn(message, q.fields(zap.Int64("passed", written), zap.Error(err))...)
	panic(http.ErrAbortHandler)
}

// recordAnswered records a complete response in the metrics and the log.
func (q *request) recordAnswered(status int, written int64) {
	if status < http.StatusMultipleChoices {
		q.reportBegun()
	}
	q.server.cfg.Metrics.Tagged(map[string]string{"status": strconv.Itoa(status)}).Counter("answered").Inc(1)
	q.server.cfg.Metrics.Timer("answer").Record(time.Since(q.start))
	q.recordDurations(time.Now())
	q.server.cfg.Log.Info("request answered", q.fields(
		zap.Int("status", status), zap.Duration("staged", q.stagesTook), zap.Int64("bytes", written))...)
}

// recordDurations records how long the whole request and its send took. A resumed stream
// says nothing of the time of a token, as its events come from more than one send.
func (q *request) recordDurations(now time.Time) {
	e := elapsed{total: now.Sub(q.start)}
	if q.attempts == 1 && !q.begunAt.IsZero() {
		e.head, e.tokens = q.begunAt.Sub(q.start), q.OutputTokens
	}
	q.server.durations.record(q.route.Name, e)
	e.total -= q.stagesTook
	e.head = max(0, e.head-q.stagesTook)
	q.server.sendDurations.record(q.route.Name, e)
	q.server.responseTimes.record(q.route.Name, elapsed{total: now.Sub(q.sentAt)})
}
