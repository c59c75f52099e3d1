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

// Config builds a Relay.
type Config struct {
	// Self returns the instance's own record, with watch.RoleRelay.
	Self func() *fleetpb.Peer
	// Controls returns the link addresses of the control instances that are
	// connected now.
	Controls func() []string
	// Found is told of the link addresses of control instances that make
	// themselves known. It must not block.
	Found func(addresses []string)
	Log   *zap.Logger
}

// Relay knows where the control instances are. It is safe for concurrent use.
type Relay struct {
	cfg  Config
	next atomic.Uint64
}

// New returns a Relay.
func New(cfg Config) *Relay { return &Relay{cfg: cfg} }

// Next returns the host of the control instance that takes the next call, each
// in turn; false while none is connected.
func (r *Relay) Next() (string, bool) {
	controls := r.cfg.Controls()
	if len(controls) == 0 {
		return "", false
	}
	slices.Sort(controls)
	host, _, err := net.SplitHostPort(controls[int(r.next.Add(1)%uint64(len(controls)))])
	return host, err == nil
}

// Serve answers one stream of another process.
func (r *Relay) Serve(_ context.Context, st *link.Stream, first *fleetpb.Envelope) {
	reply, err := r.reply(first)
	if err == nil {
		err = st.Send(reply)
	}
	if err != nil {
		r.cfg.Log.Debug("stream not answered", zap.String("from", first.From), zap.Error(err))
	}
}

// reply returns the answer to the first message of a stream.
func (r *Relay) reply(first *fleetpb.Envelope) (*fleetpb.Envelope, error) {
	switch body := first.Body.(type) {
	case *fleetpb.Envelope_Watch:
		if self := body.Watch.GetSelf(); self.GetRole() == watch.RoleControl {
			r.cfg.Found([]string{self.GetLink()})
		}
		return &fleetpb.Envelope{Body: &fleetpb.Envelope_News{News: r.peers()}}, nil
	case *fleetpb.Envelope_Hello:
		// The identity of a disk is never zero: this instance has none.
		return &fleetpb.Envelope{Body: &fleetpb.Envelope_HelloReply{HelloReply: &fleetpb.HelloReply{Name: r.cfg.Self().Link}}}, nil
	default:
		return nil, fmt.Errorf("a relay takes no %T; ask a control instance", first.Body)
	}
}

// peers lists this instance and the control instances.
func (r *Relay) peers() *fleetpb.News {
	n := &fleetpb.News{Seq: 1, WholePeers: true, Peers: []*fleetpb.Peer{r.cfg.Self()}}
	for _, address := range r.cfg.Controls() {
		n.Peers = append(n.Peers, &fleetpb.Peer{Name: address, Role: watch.RoleControl, Link: address})
	}
	return n
}
