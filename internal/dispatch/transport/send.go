package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"go.uber.org/zap"
)

const (
	// aloneBytes is the size of a body from which it is written beside the
	// reading of the answer, as the upstream may answer before it has read it.
	aloneBytes = 4 << 10
	// maxForeign is the number of answers to other requests that are read past
	// on one connection.
	maxForeign = 2
	// maxForeignBytes bounds the body of an answer to another request.
	maxForeignBytes = 4 << 20
)

// exchange is one request on one connection.
type exchange struct {
	pool    *Pool
	conn    *conn
	host    *host
	request Request
	// wrote receives the end of the writing.
	wrote chan error
	whole bool
}

// Send sends a request once and returns how it ended. The connection is closed
// when ctx ends before the answer has been read.
func (p *Pool) Send(ctx context.Context, t Target, r Request) Outcome {
	c, h, err := p.get(ctx, t)
	if err != nil {
		return NotSent{Err: err}
	}
	if err := ctx.Err(); err != nil {
		p.release(c, h, c.used > 0)
		return NotSent{Err: err}
	}
	x := &exchange{pool: p, conn: c, host: h, request: r, wrote: make(chan error, 1)}
	c.used++
	stop := context.AfterFunc(ctx, func() { c.Close() })
	if err := x.write(); err != nil {
		stop()
		p.release(c, h, false)
		return Unknown{Err: fmt.Errorf("send to upstream %s: %w", t.ID, err)}
	}
	return x.receive(stop)
}

func (x *exchange) write() error {
	if len(x.request.Body) < aloneBytes {
		x.whole = true
		return x.writeAll()
	}
	go func() { x.wrote <- x.writeAll() }()
	return nil
}

func (x *exchange) writeAll() error {
	r := x.request
	w := bufio.NewWriterSize(x.conn, aloneBytes)
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

// receive reads the head of the answer, past answers to other requests.
func (x *exchange) receive(stop func() bool) Outcome {
	for range maxForeign + 1 {
		resp, err := x.head()
		if err != nil {
			return x.broken(stop, err)
		}
		reply := x.pool.cfg.Classify(resp.StatusCode, resp.Header)
		if x.answers(reply) {
			return x.answer(stop, resp, reply)
		}
		x.pool.cfg.Log.Warn("answer to another request dropped",
			zap.String("request", x.request.ID), zap.String("upstream", x.conn.target.ID), zap.String("other", reply.ID))
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBytes))
		if err != nil || n == maxForeignBytes || resp.Close {
			return x.broken(stop, errors.Join(errors.New("the connection held an answer to another request"), err))
		}
	}
	return x.broken(stop, errors.New("the connection held answers to other requests only"))
}

// answers reports whether a reply belongs to the request. A reply without an
// identity is taken on a fresh connection only, where no other can be due.
func (x *exchange) answers(r Reply) bool {
	if r.ID == "" {
		return x.request.ID == "" || x.conn.used == 1
	}
	return r.ID == x.request.ID
}

// head reads the next response that is not informational.
func (x *exchange) head() (*http.Response, error) {
	for {
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

func (x *exchange) broken(stop func() bool, err error) Outcome {
	stop()
	x.pool.release(x.conn, x.host, false)
	return Unknown{Err: fmt.Errorf("no answer from upstream %s: %w", x.conn.target.ID, err)}
}

// written reports whether the whole request has been written.
func (x *exchange) written() bool {
	if x.whole {
		return true
	}
	select {
	case err := <-x.wrote:
		x.whole = err == nil
	default:
	}
	return x.whole
}

func (x *exchange) answer(stop func() bool, resp *http.Response, reply Reply) Outcome {
	keep := !resp.Close && x.written()
	x.conn.keptFor(resp.Header)
	if reply.NotRun {
		_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBytes))
		stopped := stop()
		x.pool.release(x.conn, x.host, keep && err == nil && stopped)
		return Rejected{Status: resp.StatusCode, Reply: reply}
	}
	body := &body{Reader: resp.Body}
	return &Answered{
		Status: resp.StatusCode,
		Header: resp.Header,
		Length: resp.ContentLength,
		Reply:  reply,
		Body:   body,

		done: func(wanted bool) {
			stopped := stop()
			x.pool.release(x.conn, x.host, wanted && keep && body.whole && stopped && x.written())
		},
	}
}

// Close gives the connection back where the body was read to its end, and
// closes it otherwise, which tells the upstream to stop.
func (a *Answered) Close() { a.end(true) }

// Drop closes the connection, as where the answer proves to be another one's.
func (a *Answered) Drop() { a.end(false) }

func (a *Answered) end(keep bool) {
	if a.done != nil {
		a.done(keep)
		a.done = nil
	}
}

// body remembers whether it was read to its end.
type body struct {
	io.Reader
	whole bool
}

// Read reads on.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		b.whole = true
	}
	return n, err
}
