package relay

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/fleet/watch"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// Config configures a Relay.
type Config struct {
	// Self returns the peer record of this instance, with watch.RoleRelay.
	Self func() *fleetpb.Peer
	// Controls returns the link addresses of the control instances that are
	// connected now.
	Controls func() []string
	// AddControls is called with the link addresses of control instances that
	// have opened a stream to this one. It must not block.
	AddControls func(addresses []string)
	Log         *zap.Logger
}

// Relay refers other processes to the control instances. It is safe for
// concurrent use.
type Relay struct {
	cfg Config
	// calls counts the calls of NextHost, for round-robin.
	calls atomic.Uint64
}

// New returns a Relay.
func New(cfg Config) *Relay { return &Relay{cfg: cfg} }

// NextHost returns the host of the control instance for the next call, chosen
// round-robin. It returns false while none is connected.
func (r *Relay) NextHost() (string, bool) {
	controls := r.cfg.Controls()
	if len(controls) == 0 {
		return "", false
	}
	slices.Sort(controls)
	host, _, err := net.SplitHostPort(controls[int(r.calls.Add(1)%uint64(len(controls)))])
	return host, err == nil
}

// Serve answers the first message of a stream that another process has opened.
func (r *Relay) Serve(_ context.Context, st *link.Stream, first *fleetpb.Envelope) {
	reply, err := r.reply(first)
	if err == nil {
		err = st.Send(reply)
	}
	if err != nil {
		r.cfg.Log.Debug("could not answer stream", zap.String("from", first.From), zap.Error(err))
	}
}

// reply returns the response to the first message of a stream.
func (r *Relay) reply(first *fleetpb.Envelope) (*fleetpb.Envelope, error) {
	switch body := first.Body.(type) {
	case *fleetpb.Envelope_Watch:
		if self := body.Watch.GetSelf(); self.GetRole() == watch.RoleControl {
			r.cfg.AddControls([]string{self.GetLink()})
		}
		return &fleetpb.Envelope{Body: &fleetpb.Envelope_News{News: r.peers()}}, nil
	case *fleetpb.Envelope_Hello:
		// The identity stays zero, which tells that this instance has no disk: the
		// identity of a disk is never zero.
		return &fleetpb.Envelope{Body: &fleetpb.Envelope_HelloReply{HelloReply: &fleetpb.HelloReply{Name: r.cfg.Self().Link}}}, nil
	default:
		return nil, fmt.Errorf("unexpected message %T: a relay answers only Watch and Hello; send it to a control instance", first.Body)
	}
}

// peers returns the peer records of this instance and of the connected control
// instances.
func (r *Relay) peers() *fleetpb.News {
	n := &fleetpb.News{Seq: 1, Whole: true, Peers: []*fleetpb.Peer{r.cfg.Self()}}
	for _, address := range r.cfg.Controls() {
		n.Peers = append(n.Peers, &fleetpb.Peer{Name: address, Role: watch.RoleControl, Link: address})
	}
	return n
}
