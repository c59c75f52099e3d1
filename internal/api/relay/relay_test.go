package relay

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/fleet/watch"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// waitTimeout limits each wait for a condition.
const waitTimeout = 10 * time.Second

var auth = link.Auth{Key: []byte("a key for the tests")}

// eventually polls ok until it is true, and fails the test after waitTimeout.
func eventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", condition)
		}
	}
}

// startControl starts a control instance and returns its address.
func startControl(t *testing.T) string {
	t.Helper()
	var hub *watch.Hub
	ready := make(chan struct{})
	server, err := link.Listen(link.ServerConfig{Address: "127.0.0.1:0", Auth: auth, Handle: func(ctx context.Context, st *link.Stream, first *fleetpb.Envelope) {
		<-ready
		hub.Serve(ctx, st, first.GetWatch())
	}})
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	address := server.Address()
	hub = watch.NewHub(watch.HubConfig{
		Self:   func() *fleetpb.Peer { return &fleetpb.Peer{Name: address, Role: watch.RoleControl, Link: address} },
		Table:  catalog.New(catalog.Config{}),
		Voters: func() []string { return nil },
		Log:    zap.NewNop(),
	})
	close(ready)
	t.Cleanup(func() {
		server.Close()
		hub.Close()
	})
	return address
}

// follow starts a Follower of the instances at the seed addresses.
func follow(t *testing.T, self func() *fleetpb.Peer, seeds ...string) (*watch.Follower, *link.Pool) {
	t.Helper()
	pool := link.NewPool(link.PoolConfig{Auth: auth})
	f := watch.NewFollower(watch.FollowerConfig{
		Pool: pool, Seeds: seeds, Log: zap.NewNop(),
		WatchRequest: func() *fleetpb.Watch { return &fleetpb.Watch{Self: self()} },
		OnNews:       func(*fleetpb.News) {},
	})
	t.Cleanup(func() {
		f.Close()
		pool.Close()
	})
	return f, pool
}

// startRelay starts a relay and returns it with its address.
func startRelay(t *testing.T, seeds ...string) (*Relay, string) {
	t.Helper()
	var r *Relay
	ready := make(chan struct{})
	server, err := link.Listen(link.ServerConfig{Address: "127.0.0.1:0", Auth: auth, Handle: func(ctx context.Context, st *link.Stream, first *fleetpb.Envelope) {
		<-ready
		r.Serve(ctx, st, first)
	}})
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { server.Close() })
	address := server.Address()
	self := func() *fleetpb.Peer { return &fleetpb.Peer{Name: address, Role: watch.RoleRelay, Link: address} }
	f, _ := follow(t, self, seeds...)
	r = New(Config{Self: self, Controls: f.Controls, AddControls: f.Add, Log: zap.NewNop()})
	close(ready)
	return r, address
}

func entryPeer() *fleetpb.Peer {
	return &fleetpb.Peer{Name: "e", Role: watch.RoleEntry, Link: "e"}
}

// A process whose only seed is a relay learns the addresses of the control
// instances from it, and must not count the relay among them.
func TestRelayListsControlInstances(t *testing.T) {
	a, b := startControl(t), startControl(t)
	r, address := startRelay(t, a, b)
	eventually(t, "relay connected to both control instances", func() bool { return len(r.cfg.Controls()) == 2 })
	e, _ := follow(t, entryPeer, address)
	eventually(t, "entry connected to both control instances", func() bool { return e.ConnectedCount() == 2 })
	for _, got := range e.Controls() {
		if got == address {
			t.Error("the relay is listed as a control instance")
		}
	}
	if got, want := len(e.Peers(watch.RoleControl)), 2; got != want {
		t.Errorf("%d control instances are listed, want %d", got, want)
	}
}

func TestNextHostRoundRobin(t *testing.T) {
	a := startControl(t)
	r, _ := startRelay(t, a)
	eventually(t, "relay connected to the control instance", func() bool { return len(r.cfg.Controls()) == 1 })
	if got, ok := r.NextHost(); !ok || got != "127.0.0.1" {
		t.Errorf("got %q %t, want 127.0.0.1", got, ok)
	}
	both := New(Config{Controls: func() []string { return []string{"10.0.0.2:1", "10.0.0.1:1"} }})
	first, _ := both.NextHost()
	second, _ := both.NextHost()
	if first == second {
		t.Errorf("two calls in a row both go to %s", first)
	}
	none := New(Config{Controls: func() []string { return nil }})
	if host, ok := none.NextHost(); ok {
		t.Errorf("got host %q while no control instance is connected, want none", host)
	}
}

// Other processes recognize a relay by its zero identity, which no disk has.
func TestRelayHasZeroIdentity(t *testing.T) {
	_, address := startRelay(t)
	pool := link.NewPool(link.PoolConfig{Auth: auth})
	defer pool.Close()
	e, err := pool.RoundTrip(context.Background(), address, &fleetpb.Envelope{Body: &fleetpb.Envelope_Hello{Hello: &fleetpb.Hello{Name: "c"}}})
	if err != nil {
		t.Fatalf("hello: %v", err)
	}
	if got := e.GetHelloReply(); got.GetIdentity() != 0 || got.GetName() != address {
		t.Errorf("got %v, want name %s and no identity", got, address)
	}
}

// If all processes restart with relays as their only seeds, the relays know of
// no control instance at first. A control instance that connects to a relay must
// become known to the entries that are connected to the same relay.
func TestRelayLearnsControlInstances(t *testing.T) {
	_, address := startRelay(t)
	e, _ := follow(t, entryPeer, address)
	control := startControl(t)
	follow(t, func() *fleetpb.Peer { return &fleetpb.Peer{Name: control, Role: watch.RoleControl, Link: control} }, address)
	eventually(t, "entry connected to the control instance", func() bool { return e.ConnectedCount() == 1 })
}
