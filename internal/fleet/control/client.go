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
	// retryInterval is the wait before a request is retried, for example while
	// there is no leader.
	retryInterval = 40 * time.Millisecond
)

// Address is the name of a control instance and the address of its link server.
type Address struct{ Name, Link string }

// ClientConfig configures a Client.
type ClientConfig struct {
	Pool  *link.Pool
	Peers []Address
}

// Client sends commands and reads to the leader of the control instances. It is
// safe for concurrent use.
type Client struct {
	cfg ClientConfig
	// leader is the index in cfg.Peers of the presumed leader.
	leader atomic.Int64
}

// NewClient returns a Client that first asks a random instance.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{cfg: cfg}
	c.leader.Store(int64(rand.IntN(len(cfg.Peers))))
	return c
}

// UnavailableError reports that no quorum answered before the context ended. A
// command may still be committed.
type UnavailableError struct{ Cause error }

// Error says to try again and how to check the control instances.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("no control quorum answered in time (%v); try again, and check hawthornhub status", e.Cause)
}

// Unwrap returns the context error joined with the last attempt's error.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// Propose commits a command and returns its result. It retries until ctx ends,
// and then returns an *UnavailableError.
func (c *Client) Propose(ctx context.Context, cmd *statepb.Command) (*statepb.Result, error) {
	e := &fleetpb.Envelope{Body: &fleetpb.Envelope_Propose{Propose: &fleetpb.Propose{Command: cmd}}}
	reply, err := c.roundTrip(ctx, e)
	if err != nil {
		return nil, err
	}
	return reply.GetResult(), nil
}

// Read performs a linearizable read. It retries like Propose.
func (c *Client) Read(ctx context.Context, r *fleetpb.Read) (*fleetpb.ReadReply, error) {
	r.Linear = true
	reply, err := c.roundTrip(ctx, &fleetpb.Envelope{Body: &fleetpb.Envelope_Read{Read: r}})
	if err != nil {
		return nil, err
	}
	return reply.GetReadReply(), nil
}

// roundTrip sends a request to the presumed leader, and after a failure to
// another instance, until one answers or ctx ends.
func (c *Client) roundTrip(ctx context.Context, e *fleetpb.Envelope) (*fleetpb.Envelope, error) {
	var lastErr error
	for {
		index := c.leader.Load()
		peer := c.cfg.Peers[int(index)%len(c.cfg.Peers)]
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		reply, err := c.cfg.Pool.RoundTrip(attemptCtx, peer.Link, cloneEnvelope(e))
		cancel()
		if err == nil {
			return reply, nil
		}
		lastErr = fmt.Errorf("%s: %w", peer.Name, err)
		c.leader.CompareAndSwap(index, c.nextPeer(index, err))
		select {
		case <-ctx.Done():
			return nil, &UnavailableError{Cause: errors.Join(ctx.Err(), lastErr)}
		case <-time.After(retryInterval):
		}
	}
}

// cloneEnvelope returns a new Envelope with the body of e. Sending an Envelope
// sets its other fields, so each attempt needs its own.
func cloneEnvelope(e *fleetpb.Envelope) *fleetpb.Envelope {
	return &fleetpb.Envelope{Body: e.Body}
}

// nextPeer returns the index of the instance to ask after a failure: the leader
// named by the failure, or else the next instance in the list.
func (c *Client) nextPeer(index int64, err error) int64 {
	var failure *link.FailureError
	if errors.As(err, &failure) && failure.Failure.Leader != "" {
		for i, p := range c.cfg.Peers {
			if p.Name == failure.Failure.Leader {
				return int64(i)
			}
		}
	}
	return (index + 1) % int64(len(c.cfg.Peers))
}
