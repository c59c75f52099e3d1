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
	// wholeBytes is the size up to which an answer that is not a stream is read
	// whole before any of it is passed on.
	wholeBytes = 256 << 10
	// copyBytes is the size of the buffer with which an answer is passed on.
	copyBytes = 16 << 10
)

// errBroken says that an answer broke off.
var errBroken = errors.New("the answer broke off")

// respond passes an answer on.
func (q *request) respond(ctx context.Context, w http.ResponseWriter, a *transport.Answered) {
	if q.route.Kind == site.Streaming && a.Status == http.StatusOK {
		q.respondStream(ctx, w, a)
		return
	}
	for {
		f, again := q.respondWhole(ctx, w, a)
		if f == nil {
			return
		}
		if again {
			if a, f = q.forward(ctx); f == nil {
				continue
			}
		}
		q.server.refuse(w, q, f)
		return
	}
}

// respondWhole reads an answer to its end before any of it is passed on, so
// that one that breaks off can still be failed or asked for again.
func (q *request) respondWhole(ctx context.Context, w http.ResponseWriter, a *transport.Answered) (*refusal, bool) {
	id := q.upstream
	body, err := io.ReadAll(io.LimitReader(a.Body, wholeBytes))
	long := err == nil && len(body) == wholeBytes
	if !long {
		a.Close()
		q.server.cfg.Place.Ended(time.Now(), id, balance.End{Failed: err != nil && ctx.Err() == nil || a.Status >= http.StatusInternalServerError})
	}
	if err != nil {
		f := mayHaveRun("the upstream's answer broke off", err)
		if ctx.Err() != nil {
			return q.timedOut(f), false
		}
		u := q.at(id)
		return f, q.idempotent() && q.again(u, "answer broke off", err)
	}
	length := a.Length
	if !long {
		length = int64(len(body))
	}
	q.head(w, a, length)
	if _, err := w.Write(body); err != nil {
		q.server.cfg.Log.Info("answer not delivered", q.fields(zap.Error(err))...)
	} else if long {
		q.copyRest(w, a)
	}
	q.served(a.Status, int64(len(body)))
	return nil, false
}

func (q *request) copyRest(w http.ResponseWriter, a *transport.Answered) {
	n, err := io.CopyBuffer(w, a.Body, make([]byte, copyBytes))
	a.Close()
	q.server.cfg.Place.Ended(time.Now(), q.upstream, balance.End{Failed: err != nil})
	if err != nil {
		q.cut("answer cut", n, err)
	}
}

// head writes the status and headers of an answer.
func (q *request) head(w http.ResponseWriter, a *transport.Answered, length int64) {
	h := w.Header()
	for name, values := range q.server.cfg.Wire.Return(a.Header) {
		h[name] = values
	}
	h.Del("Content-Length")
	if length >= 0 && bodyAllowed(a.Status) {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
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

// cut ends the caller's connection in the middle of an answer, so that it does
// not look whole.
func (q *request) cut(message string, passed int64, err error) {
	q.server.cfg.Metrics.Counter("cut").Inc(1)
	q.server.cfg.Log.Warn(message, q.fields(zap.Int64("passed", passed), zap.Error(err))...)
	panic(http.ErrAbortHandler)
}

func (q *request) served(status int, passed int64) {
	q.server.cfg.Metrics.Tagged(map[string]string{"status": strconv.Itoa(status)}).Counter("answered").Inc(1)
	q.server.cfg.Metrics.Timer("answer").Record(time.Since(q.began))
	q.server.lasting.note(q.route.Name, time.Since(q.began))
	q.server.cfg.Log.Info("request answered", q.fields(
		zap.Int("status", status), zap.Duration("staged", q.staged), zap.Int64("bytes", passed))...)
}
