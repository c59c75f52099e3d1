package gateway

import (
	"context"
	"io"
	"sync"
	"time"

	"hawthornhub.example/hawthornhub/internal/serve/membudget"
)

const (
	// chunkBytes is the size of the pieces of memory that hold what a caller has not read.
	// The first one is what each answer may hold in any case.
	chunkBytes = freeHeldBytes
	// answerShare limits what one answer holds: one of so many parts of the budget.
	// Otherwise one long answer to a slow caller would cause its account to be refused.
	answerShare = 4
	// roomInterval is the time after which it is tried again to get memory. It is short
	// against the seconds after which an upstream cuts off a response that is not read.
	roomInterval = 50 * time.Millisecond
)

// chunk is a piece of a response. The bytes from read to written have not been forwarded.
type chunk struct {
	buf           [chunkBytes]byte
	read, written int
}

// readAhead is the body of a response. Its bytes come straight from the upstream until
// start is called, which causes them to be read on into memory while the reader does not
// ask for them.
type readAhead struct {
	body io.Reader
	// expired reports whether the request has ended.
	expired func() bool
	// maxChunks is the number of chunks that the answer may hold.
	maxChunks int
	// done is closed once fill has returned.
	done chan struct{}

	mu sync.Mutex
	// changed is signaled when bytes or room have come, and at the end.
	changed *sync.Cond
	started bool
	closed  bool
	chunks  []*chunk
	// hold is the memory of all chunks but the first.
	hold *membudget.Hold
	// err is how the body ended, nil before.
	err error
}

// newReadAhead returns the body of a response to the request.
func (q *request) newReadAhead(ctx context.Context, body io.Reader) *readAhead {
	memory := q.server.memory
	r := &readAhead{
		body:      body,
		expired:   func() bool { return ctx.Err() != nil },
		maxChunks: int(max(1, memory.Limit()/answerShare/chunkBytes)),
		hold:      memory.HoldSparing(q.account),
		done:      make(chan struct{}),
	}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// start causes the body to be read on into memory. It may be called only while no Read is
// in progress, and reports false if it was called before.
func (r *readAhead) start() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.started || r.closed {
		return false
	}
	r.started = true
	go r.fill()
	return true
}

// Read implements io.Reader.
func (r *readAhead) Read(p []byte) (int, error) {
	r.mu.Lock()
	if !r.started {
		r.mu.Unlock()
		return r.body.Read(p)
	}
	defer r.mu.Unlock()
	for {
		if n := r.take(p); n > 0 {
			return n, nil
		}
		if r.err != nil {
			return 0, r.err
		}
		r.changed.Wait()
	}
}

// take copies held bytes to p and returns their number.
func (r *readAhead) take(p []byte) int {
	n := 0
	for len(r.chunks) > 0 && n < len(p) {
		c := r.chunks[0]
		copied := copy(p[n:], c.buf[c.read:c.written])
		c.read += copied
		n += copied
		if c.read < chunkBytes {
			if copied == 0 || c.read == c.written {
				break
			}
			continue
		}
		r.chunks[0] = nil
		r.chunks = r.chunks[1:]
		r.setHold()
		r.changed.Broadcast()
	}
	return n
}

// setHold gives back the memory of chunks that are gone.
func (r *readAhead) setHold() {
	// To hold less always succeeds.
	_ = r.hold.Resize(int64(max(0, len(r.chunks)-1)) * chunkBytes)
}

// fill reads the body into chunks until it ends.
func (r *readAhead) fill() {
	defer close(r.done)
	for {
		c := r.room()
		if c == nil {
			return
		}
		// Only fill writes to the rest of a chunk, and take reads it up to written.
		n, err := r.body.Read(c.buf[c.written:])
		if !r.add(c, n, err) {
			return
		}
	}
}

// room returns a chunk that is not full. It waits until there is memory for one, and
// returns nil if the request ends before.
func (r *readAhead) room() *chunk {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		if r.closed {
			return nil
		}
		if r.expired() {
			r.drop(context.DeadlineExceeded)
			return nil
		}
		if n := len(r.chunks); n > 0 && r.chunks[n-1].written < chunkBytes {
			return r.chunks[n-1]
		}
		if n := len(r.chunks); n == 0 || n < r.maxChunks && r.hold.Resize(int64(n)*chunkBytes) == nil {
			c := &chunk{}
			r.chunks = append(r.chunks, c)
			return c
		}
		timer := time.AfterFunc(roomInterval, r.changed.Broadcast)
		r.changed.Wait()
		timer.Stop()
	}
}

// add records that n bytes were read into a chunk, and reports whether more may follow.
func (r *readAhead) add(c *chunk, n int, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.written += n
	if err != nil && err != io.EOF && r.expired() {
		r.drop(err)
		return false
	}
	r.err = err
	r.changed.Broadcast()
	return err == nil
}

// drop ends the body and gives back what is held: an incomplete answer is of no use once its
// request has ended.
func (r *readAhead) drop(err error) {
	r.chunks, r.err = nil, err
	r.setHold()
	r.changed.Broadcast()
}

// close gives back what is held. The response must have been closed before, so that a
// read that is in progress ends.
func (r *readAhead) close() {
	r.mu.Lock()
	r.closed = true
	r.changed.Broadcast()
	started := r.started
	r.mu.Unlock()
	if started {
		<-r.done
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chunks = nil
	r.hold.Close()
}
