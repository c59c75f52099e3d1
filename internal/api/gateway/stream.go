package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"hawthornhub.example/hawthornhub/internal/dispatch/transport"
	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/serve/balance"
)

// eventEnd ends an event of a stream.
var eventEnd = []byte("\n\n")

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// events cuts a stream into whole events.
type events struct {
	buf []byte
	// last is the id of the last whole event.
	last string
}

// add takes bytes and returns the whole events among them, which are valid
// until the next call.
func (e *events) add(b []byte) []byte {
	e.buf = append(e.buf, b...)
	at := bytes.LastIndex(e.buf, eventEnd)
	if at < 0 {
		return nil
	}
	whole := e.buf[:at+len(eventEnd)]
	if id, ok := lastID(whole); ok {
		e.last = id
	}
	return whole
}

// passed drops whole events that were passed on.
func (e *events) passed(n int) { e.buf = append(e.buf[:0], e.buf[n:]...) }

// partial reports whether an event has begun and not ended.
func (e *events) partial() bool { return len(e.buf) > 0 }

// lastID returns the last id field.
func lastID(b []byte) (string, bool) {
	for len(b) > 0 {
		at := bytes.LastIndexByte(b, '\n')
		line := b[at+1:]
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
		if at < 0 {
			break
		}
		b = b[:at]
	}
	return "", false
}

// stream is an answer by events on its way to the caller.
type stream struct {
	*request
	w      http.ResponseWriter
	flush  func() error
	events events
	opened bool
	passed int64
}

// respondStream passes events on as they come, whole ones only.
func (q *request) respondStream(ctx context.Context, w http.ResponseWriter, a *transport.Answered) {
	s := &stream{request: q, w: w, flush: http.NewResponseController(w).Flush}
	for {
		err := s.pass(a)
		a.Close()
		q.server.cfg.Place.Ended(time.Now(), q.upstream, balance.End{Failed: err != nil && ctx.Err() == nil})
		if err == nil {
			q.served(a.Status, s.passed)
			return
		}
		next, f := s.resume(ctx, err)
		if next == nil {
			s.fail(f, err)
			return
		}
		a = next
	}
}

// pass copies an answer until it ends.
func (s *stream) pass(a *transport.Answered) error {
	s.events.buf = s.events.buf[:0]
	buf := make([]byte, copyBytes)
	for {
		n, err := a.Body.Read(buf)
		if werr := s.write(a, buf[:n]); werr != nil {
			return werr
		}
		if err == io.EOF {
			if s.events.partial() {
				return errBroken
			}
			if !s.opened {
				s.open(a)
			}
			return nil
		}
		if err != nil {
			return err
		}
		if len(s.events.buf) > maxEventBytes {
			return errBroken
		}
	}
}

func (s *stream) open(a *transport.Answered) {
	s.opened = true
	s.head(s.w, a, -1)
	s.release()
}

func (s *stream) write(a *transport.Answered, b []byte) error {
	whole := s.events.add(b)
	if len(whole) == 0 {
		return nil
	}
	if !s.opened {
		s.open(a)
	}
	n, err := s.w.Write(whole)
	s.passed += int64(n)
	if err != nil {
		return &callerError{err: err}
	}
	s.events.passed(len(whole))
	if err := s.flush(); err != nil {
		return &callerError{err: err}
	}
	return nil
}

// callerError says that the caller did not take an answer.
type callerError struct{ err error }

// Error tells what happened.
func (e *callerError) Error() string { return "the caller did not take the answer: " + e.err.Error() }

// resume asks another upstream to go on after the last whole event.
func (s *stream) resume(ctx context.Context, err error) (*transport.Answered, *refusal) {
	f := mayHaveRun("the stream broke off", err)
	var caller *callerError
	if errors.As(err, &caller) || ctx.Err() != nil {
		return nil, s.timedOut(f)
	}
	if !s.idempotent() || s.opened && s.events.last == "" {
		return nil, f
	}
	if !s.again(s.at(s.upstream), "stream broke off", err) {
		return nil, f
	}
	s.after = s.events.last
	next, refused := s.forward(ctx)
	if refused != nil {
		return nil, refused
	}
	if next.Status != http.StatusOK {
		next.Close()
		s.server.cfg.Place.Ended(time.Now(), s.upstream, balance.End{Failed: true})
		return nil, f
	}
	return next, nil
}

// fail ends a stream that cannot go on.
func (s *stream) fail(f *refusal, err error) {
	if s.opened {
		s.cut("stream cut", s.passed, err)
	}
	s.server.refuse(s.w, s.request, f)
}

// at returns the upstream of an id as far as it is known.
func (q *request) at(id string) catalog.Upstream {
	for _, u := range q.server.cfg.Upstreams(q.service.Name) {
		if u.ID == id {
			return u
		}
	}
	return catalog.Upstream{ID: id}
}
