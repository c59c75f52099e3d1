package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"hawthornhub.example/hawthornhub/internal/dispatch/transport"
	"hawthornhub.example/hawthornhub/internal/serve/balance"
)

// eventEnd terminates a server-sent event.
var eventEnd = []byte("\n\n")

// maxEventBytes limits the size of one event.
const maxEventBytes = 1 << 20

// eventBuffer splits a stream of bytes into complete events.
type eventBuffer struct {
	buf []byte
	// lastID is the ID of the last event that has been forwarded.
	lastID string
}

// add appends bytes and returns all complete events in the buffer. They are
// valid until the next call.
func (e *eventBuffer) add(b []byte) []byte {
	// What was there before holds no end of an event, but perhaps the first byte of one.
	from := max(0, len(e.buf)-len(eventEnd)+1)
	e.buf = append(e.buf, b...)
	end := bytes.LastIndex(e.buf[from:], eventEnd)
	if end < 0 {
		return nil
	}
	return e.buf[:from+end+len(eventEnd)]
}

// discard removes n bytes of complete events that have been forwarded. It keeps no large
// buffer for small events.
func (e *eventBuffer) discard(n int) {
	if id, ok := parseLastID(e.buf[:n]); ok {
		e.lastID = id
	}
	rest := e.buf[n:]
	if cap(e.buf) > 2*freeHeldBytes && len(rest) <= freeHeldBytes {
		e.buf = append([]byte(nil), rest...)
		return
	}
	e.buf = append(e.buf[:0], rest...)
}

// partial reports whether the buffer ends in the middle of an event.
func (e *eventBuffer) partial() bool { return len(e.buf) > 0 }

// parseLastID returns the value of the last id field in b, false if b has none.
func parseLastID(b []byte) (string, bool) {
	for len(b) > 0 {
		newline := bytes.LastIndexByte(b, '\n')
		line := b[newline+1:]
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
		if newline < 0 {
			break
		}
		b = b[:newline]
	}
	return "", false
}

// stream is a response of server-sent events that is being forwarded.
type stream struct {
	*request
	w      http.ResponseWriter
	out    *callerOutput
	events eventBuffer
	// headerWritten is set once the status and headers have been sent, those of an answer of
	// the given media type.
	headerWritten bool
	mediaType     string
	// joining is set from the end of one answer until the first event of the next.
	joining bool
	// written is the number of body bytes sent to the caller.
	written int64
	// held is the memory of events.
	held answerMemory
}

// respondStream forwards events as they arrive, complete ones only.
func (q *request) respondStream(ctx context.Context, w http.ResponseWriter, a *transport.Answered) {
	s := &stream{request: q, w: w, out: q.newOutput(w), held: q.answerMemory()}
	defer s.held.hold.Close()
	for {
		source := q.newReadAhead(ctx, a.Body)
		s.out.setSource(source)
		err := s.copyEvents(a, source)
		a.Close()
		s.out.setSource(nil)
		source.close()
		q.server.cfg.Balancer.End(time.Now(), q.choice, balance.DoneInfo{Failed: err != nil && ctx.Err() == nil, GaveUp: err != nil && ctx.Err() != nil})
		if err == nil {
			s.out.finish()
			q.recordAnswered(a.Status, s.written)
			return
		}
		s.recordBreak(ctx, err)
		next, f := s.resume(ctx, err)
		if next == nil {
			s.fail(f, err)
			return
		}
		a = next
	}
}

// copyEvents forwards the events of a response until its body, which source reads, ends.
func (s *stream) copyEvents(a *transport.Answered, source io.Reader) error {
	s.events.buf = nil
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := source.Read(buf)
		if werr := s.write(a, buf[:n]); werr != nil {
			return werr
		}
		if err == io.EOF {
			if s.events.partial() || a.Unframed && s.begunAt.IsZero() {
				return errBadEvent
			}
			if !s.headerWritten {
				s.begin(a)
			}
			return nil
		}
		if err != nil {
			return err
		}
		if len(s.events.buf) > maxEventBytes {
			return errBadEvent
		}
		if !s.held.resize(cap(s.events.buf)) {
			return errNoMemory
		}
	}
}

// begin writes the header and releases the results of the stages, which the
// engine no longer needs.
func (s *stream) begin(a *transport.Answered) {
	s.headerWritten, s.mediaType = true, mediaType(a)
	s.writeHeader(s.w, a, -1)
	s.releaseAll()
}

// write forwards the events that b completes.
func (s *stream) write(a *transport.Answered, b []byte) error {
	complete := s.events.add(b)
	if len(complete) == 0 {
		return nil
	}
	if s.joining && !s.joins(complete) {
		return errOtherStream
	}
	if !s.headerWritten {
		s.begin(a)
	}
	s.recordEvent()
	n, err := s.out.Write(complete)
	s.written += int64(n)
	if err != nil {
		return &callerWriteError{err: err}
	}
	s.events.discard(len(complete))
	if err := s.out.Flush(); err != nil {
		return &callerWriteError{err: err}
	}
	return nil
}

// callerWriteError reports that a response could not be written to the caller.
type callerWriteError struct{ err error }

// Error implements error.
func (e *callerWriteError) Error() string {
	return "the caller did not take the answer: " + e.err.Error()
}

// resume requests the rest of the stream, after the last complete event, from
// another upstream.
func (s *stream) resume(ctx context.Context, err error) (*transport.Answered, *failure) {
	f := badGateway("the stream broke off", err)
	var writeErr *callerWriteError
	if errors.As(err, &writeErr) || ctx.Err() != nil {
		return nil, s.contextFailure(f)
	}
	if !s.idempotent() || s.headerWritten && s.events.lastID == "" {
		return nil, f
	}
	if !s.allowRetry(s.upstream, "stream interrupted", err) {
		return nil, f
	}
	s.lastEventID = s.events.lastID
	next, forwardFailure := s.forward(ctx)
	if forwardFailure != nil {
		return nil, forwardFailure
	}
	s.joining = s.headerWritten
	if next.Status != http.StatusOK || s.joining && mediaType(next) != s.mediaType {
		next.Close()
		s.server.cfg.Balancer.End(time.Now(), s.choice, balance.DoneInfo{Failed: !asksToWait(next.Reply)})
		return nil, f
	}
	return next, nil
}

// fail ends a stream that cannot be resumed.
func (s *stream) fail(f *failure, err error) {
	if s.headerWritten {
		s.abort("stream cut", s.written, err)
	}
	s.server.writeFailure(s.w, s.request, f)
}
