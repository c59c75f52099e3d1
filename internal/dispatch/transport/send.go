package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/serve/backoff"
)

const (
	// concurrentWriteBytes is the body size from which the request is written
	// while the answer is read, because the upstream may answer before it has
	// read the body.
	concurrentWriteBytes = 4 << 10
	// maxMismatched is the number of answers to other requests that are skipped
	// before the connection is closed.
	maxMismatched = 2
	// maxDiscardBytes limits the body of an answer that is read and discarded.
	maxDiscardBytes = 4 << 20
	// maxRejectionBytes and rejectionBodyTimeout limit how much of the body of a
	// rejection is read, and for how long, to keep its connection.
	maxRejectionBytes    = 64 << 10
	rejectionBodyTimeout = 100 * time.Millisecond
)

// exchange is one request on one connection.
type exchange struct {
	pool     *Pool
	target   Target
	conn     *conn
	upstream *upstreamConns
	request  Request
	// written is closed when a concurrent write has ended with writeErr. It is nil if the
	// request was written before its answer is read.
	written  chan struct{}
	writeErr error
}

// Send sends a request once and returns how it ended. The connection is closed
// when ctx ends before the answer has been read.
func (p *Pool) Send(ctx context.Context, t Target, r Request) Outcome {
	if p.cfg.Admit != nil {
		if err := p.cfg.Admit(t, r); err != nil {
			return NotSent{Err: err, Local: true}
		}
	}
	c, u, err := p.get(ctx, t, r)
	if err != nil {
		return NotSent{Err: err}
	}
	if err := p.permit(ctx, t, r); err != nil {
		p.release(c, u, c.requests > 0)
		return NotSent{Err: err, Local: true}
	}
	x := &exchange{pool: p, target: t, conn: c, upstream: u, request: r}
	c.requests++
	c.carried.add(r.ID)
	stop := context.AfterFunc(ctx, func() { c.Close() })
	if err := x.startWrite(); err != nil {
		stop()
		p.release(c, u, false)
		return Unknown{Err: fmt.Errorf("send to upstream %s: %w", t.ID, err)}
	}
	return x.receive(stop)
}

// permit returns an error if a request may not be sent any more.
func (p *Pool) permit(ctx context.Context, t Target, r Request) error {
	if p.cfg.Permit != nil {
		if err := p.cfg.Permit(ctx, t, r); err != nil {
			return err
		}
	}
	if err := ctx.Err(); err != nil || r.Permit == nil {
		return err
	}
	return r.Permit()
}

// startWrite writes a request with a small body, and starts writing any other.
func (x *exchange) startWrite() error {
	if len(x.request.Body) < concurrentWriteBytes {
		return x.writeRequest()
	}
	x.written = make(chan struct{})
	go func() {
		defer close(x.written)
		x.writeErr = x.writeRequest()
	}()
	return nil
}

func (x *exchange) writeRequest() error {
	r := x.request
	w := bufio.NewWriterSize(x.conn, concurrentWriteBytes)
	fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	if err := r.Header.Write(w); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(w, "Content-Length: %s\r\n", strconv.Itoa(len(r.Body)))
	}
	fmt.Fprint(w, "\r\n")
	if _, err := w.Write(r.Body); err != nil {
		return err
	}
	return w.Flush()
}

// receive reads the status and headers of the answer, and skips answers to other
// requests.
func (x *exchange) receive(stop func() bool) Outcome {
	for range maxMismatched + 1 {
		resp, err := x.readResponse()
		if err != nil {
			return x.fail(stop, err)
		}
		reply := x.pool.cfg.Classify(resp.StatusCode, resp.Header)
		if reply.Ambiguous {
			return x.fail(stop, errors.New("the answer names several requests or signatures"))
		}
		if x.matches(reply) {
			if reply.Unsigned && x.request.answerIsSigned() {
				return x.fail(stop, errors.New("the answer is a success without a signature"))
			}
			x.passSignal(reply)
			return x.outcome(stop, resp, reply)
		}
		x.pool.cfg.Log.Warn("answer to another request dropped",
			zap.String("request", x.request.ID), zap.String("upstream", x.conn.target.ID), zap.String("other", reply.ID))
		if reply.ID == "" || x.request.identity() != byID {
			break
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardBytes))
		if err != nil || n == maxDiscardBytes || resp.Close {
			return x.fail(stop, errors.Join(errors.New("the connection held an answer to another request"), err))
		}
	}
	return x.fail(stop, errors.New("the connection held no answer to the request"))
}

// passSignal passes on what the upstream says of itself. It is called for each exchange,
// whatever the status of the answer and whoever sent the request. The target is that of this
// request: the connection may have been opened for an earlier start.
func (x *exchange) passSignal(r Reply) {
	if x.pool.cfg.OnSignal != nil && !r.Misdirected && r.Signal != (backoff.Signal{}) {
		x.pool.cfg.OnSignal(x.target, r.Signal)
	}
}

// matches reports whether a reply belongs to the request. A reply without an ID to a request
// with one does only if it is a rejection of the first request on a connection, where no
// answer to an earlier one can arrive.
func (x *exchange) matches(r Reply) bool {
	if r.ID == "" && r.NotExecuted && x.conn.requests == 1 {
		return true
	}
	return r.ID == x.request.ID
}

// readResponse reads the next response and skips informational (1xx) ones.
func (x *exchange) readResponse() (*http.Response, error) {
	for limit := maxHeadBytes; ; {
		size, err := x.conn.awaitHead(limit)
		if err != nil {
			return nil, err
		}
		limit -= size
		resp, err := http.ReadResponse(x.conn.br, &http.Request{Method: x.request.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the upstream switched protocols")
		}
	}
}

// fail closes the connection after an answer could not be read.
func (x *exchange) fail(stop func() bool, err error) Outcome {
	stop()
	x.pool.release(x.conn, x.upstream, false)
	return Unknown{Err: fmt.Errorf("no answer from upstream %s: %w", x.conn.target.ID, err)}
}

// checkWritten reports whether the whole request has been written.
func (x *exchange) checkWritten() bool {
	select {
	case <-x.written:
		return x.writeErr == nil
	default:
		return x.written == nil
	}
}

// confirmEnd waits until the request has been written, and returns why it could not be. A reset
// is reported once, to the write or to the read that meets it first. To the other one the
// connection looks as if the upstream had closed it at the end of its answer.
func (x *exchange) confirmEnd() error {
	if x.written == nil {
		return nil
	}
	<-x.written
	return x.writeErr
}

// outcome returns the outcome of a matching response.
func (x *exchange) outcome(stop func() bool, resp *http.Response, reply Reply) Outcome {
	// A second copy of a rejection without an ID would not be recognized.
	keep := !resp.Close && x.checkWritten() && reply.ID == x.request.ID
	x.conn.updateIdleTimeout(resp.Header)
	if reply.NotExecuted {
		complete := x.accounted(false) && x.discardRejection(resp)
		stopped := stop()
		x.pool.countUnmarked(x.request, false)
		x.pool.release(x.conn, x.upstream, keep && complete && stopped)
		return Rejected{Status: resp.StatusCode, Reply: reply}
	}
	unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	body := &body{Reader: resp.Body}
	if unframed {
		body.confirm = x.confirmEnd
	}
	a := &Answered{
		Status: resp.StatusCode,
		Header: resp.Header,
		Length: resp.ContentLength,
		Reply:  reply,
		Body:   body,

		Unframed: unframed,
		carried:  &x.conn.carried,
	}
	a.release = func(reuse bool) {
		stopped := stop()
		x.pool.countUnmarked(x.request, a.marked)
		x.pool.release(x.conn, x.upstream, reuse && keep && body.complete.Load() && stopped && x.checkWritten() && x.accounted(a.marked))
	}
	return a
}

// discardRejection reads the body of a rejection, and reports whether it is complete.
// What the caller is told does not depend on it, so it is not waited for long.
func (x *exchange) discardRejection(resp *http.Response) bool {
	if err := x.conn.SetReadDeadline(time.Now().Add(rejectionBodyTimeout)); err != nil {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxRejectionBytes))
	if err != nil || n == maxRejectionBytes {
		return false
	}
	return x.conn.SetReadDeadline(time.Time{}) == nil
}

// Close returns the connection to the pool if the body was read to its end and a second copy
// of the answer would be recognized, see Identify. Otherwise it closes the connection, which
// tells the upstream to stop.
func (a *Answered) Close() { a.end(true) }

// Discard closes the connection. It is used if the answer proves to belong to
// another request.
func (a *Answered) Discard() { a.end(false) }

func (a *Answered) end(keep bool) {
	if a.release != nil {
		a.release(keep)
		a.release = nil
	}
}

// body is a response body that records whether it was read to its end.
type body struct {
	io.Reader
	// confirm returns an error if the end of the bytes is not that of the body. nil for a body
	// that tells its end itself.
	confirm func() error
	// complete is set by the reader, while another goroutine may close the response.
	complete atomic.Bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF && b.confirm != nil {
		if broken := b.confirm(); broken != nil {
			return n, fmt.Errorf("the answer ended while the request was written: %w", broken)
		}
	}
	if err == io.EOF {
		b.complete.Store(true)
	}
	return n, err
}
