package gateway

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/serve/membudget"
)

const (
	// freeHeldBytes is what each answer may hold in any case; more is taken from the
	// memory that all share.
	freeHeldBytes = 16 << 10
	// defaultHeldBytes is the shared memory if Config.HeldBytes is 0.
	defaultHeldBytes = 32 << 20
	// firstBodyBytes is the size of the first buffer for a body of unknown length.
	firstBodyBytes = 16 << 10
	// memoryRetryAfter is the mean of Retry-After of requests that are refused for memory.
	// Memory becomes free as other requests end, most within their objective of about a
	// second.
	memoryRetryAfter = time.Second
	// discardTime is how long the body of a refused request is read and discarded. A
	// connection that is closed while its caller sends is reset, and the caller may lose
	// the refusal. A body of 4 MiB takes 3.4 s on a link of 10 Mbit/s.
	discardTime = 5 * time.Second
)

// answerMemory is the memory of one answer.
type answerMemory struct{ hold *membudget.Hold }

func (q *request) answerMemory() answerMemory {
	return answerMemory{hold: q.server.memory.Hold(q.account)}
}

// resize makes the hold large enough for a buffer of n bytes, which may take twice as much
// while it grows. It reports false if there is no room for that.
func (m answerMemory) resize(n int) bool {
	want := int64(0)
	if n > freeHeldBytes {
		want = 2 * int64(n)
	}
	return m.hold.Resize(want) == nil
}

// Memory returns the budget for what is held for callers.
func (s *Server) Memory() *membudget.Budget { return s.memory }

// readBody reads the body of the request. What it takes counts against the memory budget
// until the request ends.
func (q *request) readBody(limit int64) *failure {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if q.http.ContentLength > limit {
		return bodyTooLarge()
	}
	if q.http.Body == nil || q.http.Body == http.NoBody {
		return nil
	}
	q.bodyMemory = q.server.memory.Hold(q.account)
	body, err := readBody(q.http.Body, q.http.ContentLength, limit, q.bodyMemory)
	var full *membudget.FullError
	switch {
	case err == nil:
		q.body = body
		return nil
	case errors.As(err, &full):
		return q.refuseForMemory(full)
	case errors.Is(err, errBodyTooLarge):
		return bodyTooLarge()
	default:
		return &failure{status: http.StatusBadRequest, reason: "the body broke off: " + err.Error(), callerGone: true}
	}
}

// releaseBody gives back the memory of the body.
func (q *request) releaseBody() {
	q.moveBody("")
	if q.bodyMemory != nil {
		q.bodyMemory.Close()
	}
}

// moveBody counts the body at an upstream, in place of the one that it was sent to before.
func (q *request) moveBody(upstream string) {
	if len(q.body) == 0 {
		return
	}
	if q.bodyAt != "" {
		q.server.bodies.Add(q.bodyAt, -int64(len(q.body)))
	}
	if q.bodyAt = upstream; upstream != "" {
		q.server.bodies.Add(upstream, int64(len(q.body)))
	}
}

// withRoomForBody leaves out the upstreams that hold their share of bodies.
func (q *request) withRoomForBody(callable []catalog.Upstream) []catalog.Upstream {
	if len(q.body) == 0 {
		return callable
	}
	if len(q.tried) > 0 {
		// The balancer leaves these out anyway. What is left must not be those alone.
		callable = slices.DeleteFunc(slices.Clone(callable), func(u catalog.Upstream) bool { return slices.Contains(q.tried, u.ID) })
	}
	return membudget.BelowShare(q.server.bodies, q.server.memory.Limit(), callable, func(u catalog.Upstream) string { return u.ID })
}

// refuseForMemory returns the failure of a request whose body finds no memory.
func (q *request) refuseForMemory(full *membudget.FullError) *failure {
	q.server.cfg.Metrics.Counter("refused_for_memory").Inc(1)
	q.server.cfg.Log.Info("no memory for the body of a request",
		q.fields(zap.Int64("wanted", full.Wanted), zap.Int64("used", full.Used), zap.Int64("share", full.Share))...)
	// Callers that were refused at one moment must not return at one moment.
	retryAfter := memoryRetryAfter/2 + rand.N(memoryRetryAfter)
	f := unavailable("no memory for the body now; send it again later, or send less at a time", retryAfter)
	f.err, f.bodyUnread = full, true
	return f
}

// discardBody sends what was written of the response, and discards what arrives of the body.
// What was read of it is given back before.
func (q *request) discardBody(control *http.ResponseController) {
	q.releaseBody()
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(discardTime)) != nil {
		return
	}
	// The connection is closed in any case.
	_, _ = io.Copy(io.Discard, q.http.Body)
}

func bodyTooLarge() *failure {
	return &failure{status: http.StatusRequestEntityTooLarge, reason: "the body is over the limit; send less"}
}

// errBodyTooLarge reports a body above the limit of the site document.
var errBodyTooLarge = errors.New("the body is over the limit; send less")

// readBody reads a body of the given length, negative if unknown, and of limit bytes at
// most. hold is resized to the capacity of the buffer before it is allocated.
func readBody(r io.Reader, length, limit int64, hold *membudget.Hold) ([]byte, error) {
	if length >= 0 {
		if err := hold.Resize(length); err != nil {
			return nil, err
		}
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	body := []byte(nil)
	for {
		if len(body) == cap(body) {
			grown, err := growBody(body, limit, hold)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if int64(len(body)) > limit {
			return nil, errBodyTooLarge
		}
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// growBody returns a copy of a body in a buffer of twice the size. Both count until the
// copy is complete.
func growBody(body []byte, limit int64, hold *membudget.Hold) ([]byte, error) {
	size := min(max(firstBodyBytes, 2*int64(cap(body))), limit+1)
	if err := hold.Resize(int64(cap(body)) + size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	return grown, hold.Resize(size)
}
