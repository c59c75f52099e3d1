package pipeline

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/serve/route"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// event is a message that an attempt received, or the error that ended its
// stream.
type event struct {
	attempt *attempt
	chunk   *fleetpb.Chunk
	end     *fleetpb.CallEnd
	err     error
}

// attempt is one attempt to run a stage on one upstream.
type attempt struct {
	id       *fleetpb.CallId
	digest   []byte
	upstream route.Upstream
	inflight route.Call
	started  time.Time
	// firstChunk is the chunk from which the upstream streams, greater than 0
	// for an attempt that resumes a stream.
	firstChunk uint32
	// nextChunk is the sequence number of the next expected chunk.
	nextChunk uint32
	output    []byte
	hedge     bool
	cancel    context.CancelFunc
}

// start opens a stream, sends the call and forwards the replies to events.
func (a *attempt) start(ctx context.Context, x *Executor, call *fleetpb.Call, events chan<- event) {
	ctx, a.cancel = context.WithCancel(ctx)
	go func() {
		err := a.runStream(ctx, x, call, events)
		select {
		case events <- event{attempt: a, err: err}:
		case <-ctx.Done():
		}
	}()
}

// runStream sends the call and forwards the replies. It returns nil after it has
// forwarded the end message, or the error that broke the stream.
func (a *attempt) runStream(ctx context.Context, x *Executor, call *fleetpb.Call, events chan<- event) error {
	st, err := x.cfg.Pool.OpenStream(ctx, a.upstream.Link)
	if err != nil {
		return err
	}
	defer st.Close()
	stop := context.AfterFunc(ctx, func() { st.Close() })
	defer stop()
	if err := st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_Call{Call: call}}); err != nil {
		return err
	}
	for {
		e, err := a.receive(x, st)
		if err != nil {
			return err
		}
		select {
		case events <- e:
		case <-ctx.Done():
			return ctx.Err()
		}
		if e.end != nil {
			return nil
		}
	}
}

// receive returns the next message that belongs to the attempt.
func (a *attempt) receive(x *Executor, st *link.Stream) (event, error) {
	for {
		e, err := st.Recv()
		if err != nil {
			return event{}, err
		}
		if c := e.GetChunk(); c != nil && a.matches(c.Id) {
			return event{attempt: a, chunk: c}, nil
		}
		if end := e.GetCallEnd(); end != nil && a.matches(end.Id) && bytes.Equal(end.Digest, a.digest) {
			return event{attempt: a, end: end}, nil
		}
		x.mismatched.Add(1)
		x.cfg.Metrics.Counter("mismatched_replies").Inc(1)
	}
}

func (a *attempt) matches(id *fleetpb.CallId) bool {
	return id.GetRequest() == a.id.Request && id.GetStage() == a.id.Stage && id.GetAttempt() == a.id.Attempt
}

// appendChunk adds a chunk to the attempt's output. A chunk out of sequence is
// an error.
func (a *attempt) appendChunk(c *fleetpb.Chunk) error {
	if c.Seq != a.nextChunk {
		return fmt.Errorf("chunk %d in place of %d", c.Seq, a.nextChunk)
	}
	a.nextChunk++
	a.output = append(a.output, c.Data...)
	return nil
}
