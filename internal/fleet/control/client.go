package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

const (
	// attemptTimeout bounds one request to one control instance.
	attemptTimeout = 1500 * time.Millisecond
	// pause is the wait between requests while there is no leader.
	pause = 40 * time.Millisecond
)

// Address is a control instance.
type Address struct{ Name, Link string }

// ClientConfig builds a Client.
type ClientConfig struct {
	Pool  *link.Pool
	Peers []Address
}

// Client talks to the control instances. It is safe for concurrent use.
type Client struct {
	cfg    ClientConfig
	leader atomic.Int64
}

// NewClient returns a Client that does not know the leader yet.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{cfg: cfg}
	c.leader.Store(int64(rand.IntN(len(cfg.Peers))))
	return c
}

// UnavailableError reports that no quorum answered in time. A command may
// still be committed.
type UnavailableError struct{ Cause error }

// Error names the remedy.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("no control quorum answered in time (%v); try again, and check hawthornhub status", e.Cause)
}

// Unwrap returns the last cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// Propose commits a command and returns its result, repeating it until ctx
// ends. The error is an *UnavailableError.
func (c *Client) Propose(ctx context.Context, cmd *statepb.Command) (*statepb.Result, error) {
	e := &fleetpb.Envelope{Body: &fleetpb.Envelope_Propose{Propose: &fleetpb.Propose{Command: cmd}}}
	reply, err := c.ask(ctx, e)
	if err != nil {
		return nil, err
	}
	return reply.GetResult(), nil
}

// Read returns state that the leader has confirmed with a quorum.
func (c *Client) Read(ctx context.Context, r *fleetpb.Read) (*fleetpb.ReadReply, error) {
	r.Linear = true
	reply, err := c.ask(ctx, &fleetpb.Envelope{Body: &fleetpb.Envelope_Read{Read: r}})
	if err != nil {
		return nil, err
	}
	return reply.GetReadReply(), nil
}

// ask sends a request to the leader, looking for it as long as ctx allows.
func (c *Client) ask(ctx context.Context, e *fleetpb.Envelope) (*fleetpb.Envelope, error) {
	var last error
	for {
		at := c.leader.Load()
		peer := c.cfg.Peers[int(at)%len(c.cfg.Peers)]
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		reply, err := c.cfg.Pool.RoundTrip(attempt, peer.Link, copyOf(e))
		cancel()
		if err == nil {
			return reply, nil
		}
		last = fmt.Errorf("%s: %w", peer.Name, err)
		c.leader.CompareAndSwap(at, c.next(at, err))
		select {
		case <-ctx.Done():
			return nil, &UnavailableError{Cause: errors.Join(ctx.Err(), last)}
		case <-time.After(pause):
		}
	}
}

// copyOf returns an Envelope that may be stamped apart from e.
func copyOf(e *fleetpb.Envelope) *fleetpb.Envelope {
	return &fleetpb.Envelope{Body: e.Body}
}

// next returns the instance to ask after a failure: the leader that the
// failure names, or the following one.
func (c *Client) next(at int64, err error) int64 {
	var failure *link.FailureError
	if errors.As(err, &failure) && failure.Failure.Leader != "" {
		for i, p := range c.cfg.Peers {
			if p.Name == failure.Failure.Leader {
				return int64(i)
			}
		}
	}
	return (at + 1) % int64(len(c.cfg.Peers))
}
