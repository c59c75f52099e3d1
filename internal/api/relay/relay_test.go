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

// waitLimit bounds each wait for an event; a test that reaches it fails.
const waitLimit = 10 * time.Second

var auth = link.Auth{Key: []byte("a key for the tests")}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(waitLimit); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%s did not happen", what)
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

func follow(t *testing.T, self func() *fleetpb.Peer, seeds ...string) (*watch.Follower, *link.Pool) {
	t.Helper()
	pool := link.NewPool(link.PoolConfig{Auth: auth})
	f := watch.NewFollower(watch.FollowerConfig{
		Pool: pool, Seeds: seeds, Log: zap.NewNop(),
		Watch: func() *fleetpb.Watch { return &fleetpb.Watch{Self: self()} },
		Take:  func(*fleetpb.News) {},
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
	r = New(Config{Self: self, Controls: f.Controls, Found: f.Add, Log: zap.NewNop()})
	close(ready)
	return r, address
}

func entryPeer() *fleetpb.Peer {
	return &fleetpb.Peer{Name: "e", Role: watch.RoleEntry, Link: "e"}
}

// A process whose only seed is a relay finds the control instances, and does
// not take the relay for one.
func TestRelayTellsWhereControlIs(t *testing.T) {
	a, b := startControl(t), startControl(t)
	r, address := startRelay(t, a, b)
	eventually(t, "both control instances", func() bool { return len(r.cfg.Controls()) == 2 })
	e, _ := follow(t, entryPeer, address)
	eventually(t, "both control instances at the entry", func() bool { return e.Connected() == 2 })
	for _, got := range e.Controls() {
		if got == address {
			t.Error("the relay counts as a control instance")
		}
	}
	if got, want := len(e.Peers(watch.RoleControl)), 2; got != want {
		t.Errorf("%d control instances are listed, want %d", got, want)
	}
}

func TestCallsGoToControlInTurn(t *testing.T) {
	a := startControl(t)
	r, _ := startRelay(t, a)
	eventually(t, "the control instance", func() bool { return len(r.cfg.Controls()) == 1 })
	if got, ok := r.Next(); !ok || got != "127.0.0.1" {
		t.Errorf("got %q %t, want 127.0.0.1", got, ok)
	}
	both := New(Config{Controls: func() []string { return []string{"10.0.0.2:1", "10.0.0.1:1"} }})
	first, _ := both.Next()
	second, _ := both.Next()
	if first == second {
		t.Errorf("two calls both go to %s", first)
	}
	none := New(Config{Controls: func() []string { return nil }})
	if host, ok := none.Next(); ok {
		t.Errorf("without control a call goes to %q", host)
	}
}

// A relay is known by the identity that no disk has.
func TestRelayHasNoIdentity(t *testing.T) {
	_, address := startRelay(t)
	pool := link.NewPool(link.PoolConfig{Auth: auth})
	defer pool.Close()
	e, err := pool.Ask(context.Background(), address, &fleetpb.Envelope{Body: &fleetpb.Envelope_Hello{Hello: &fleetpb.Hello{Name: "c"}}})
	if err != nil {
		t.Fatalf("hello: %v", err)
	}
	if got := e.GetHelloReply(); got.GetIdentity() != 0 || got.GetName() != address {
		t.Errorf("got %v, want name %s and no identity", got, address)
	}
}

// After all processes have started again with relays as their only seeds, a
// control instance makes itself known to the relay, and entries find it there.
func TestRelayLearnsOfControl(t *testing.T) {
	_, address := startRelay(t)
	e, _ := follow(t, entryPeer, address)
	control := startControl(t)
	follow(t, func() *fleetpb.Peer { return &fleetpb.Peer{Name: control, Role: watch.RoleControl, Link: control} }, address)
	eventually(t, "the control instance at the entry", func() bool { return e.Connected() == 1 })
}
