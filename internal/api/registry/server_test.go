package registry

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/fleet/control"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/fleet/replica"
	"hawthornhub.example/hawthornhub/internal/fleet/timeline"
	"hawthornhub.example/hawthornhub/internal/fleet/watch"
	"hawthornhub.example/hawthornhub/internal/state/raft"
	"hawthornhub.example/hawthornhub/internal/state/site"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// waitLimit bounds each wait for an event; a test that reaches it fails.
const waitLimit = 10 * time.Second

var auth = link.Auth{Key: []byte("a key for the tests")}

// instance is a control instance alone, with its replica and one entry that follows
// it.
type instance struct {
	address string
	hub     *watch.Hub
	server  *Server
	entry   *watch.Follower
	// delay is how long the entry takes to apply a News, in nanoseconds.
	delay atomic.Int64
	// zonesDelay is how long the entry takes to act on evacuated zones, in nanoseconds,
	// and zones are those that it acts on.
	zonesDelay atomic.Int64
	zones      atomic.Pointer[statepb.Evacuations]
	// suspended is added to the clock of the server, in nanoseconds.
	suspended atomic.Int64
	// version is that of the site document that the entry has applied, documents the number
	// of those.
	version, documents atomic.Uint64
}

func newInstance(t *testing.T) *instance {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	table := catalog.New(catalog.Config{})
	hub := watch.NewHub(watch.HubConfig{
		Self:   func() *fleetpb.Peer { return &fleetpb.Peer{Name: address, Role: watch.RoleControl, Link: address} },
		Table:  table,
		Voters: func() []string { return nil },
		Log:    zap.NewNop(),
	})
	pool := link.NewPool(link.PoolConfig{Auth: auth})
	system := actor.NewActorSystem()
	r, err := replica.Start(replica.Config{
		Name: address, DataDir: t.TempDir(), Peers: []control.Address{{Name: address, Link: address}},
		OnSiteDocument: hub.SetSiteDocument, OnEvacuations: hub.SetEvacuations, OnEndedStarts: hub.SetEndedStarts, Tick: 10 * time.Millisecond, SnapshotEntries: 64,
		Pool: pool, System: system, Timeline: timeline.NewRecorder(timeline.Config{}), Log: zap.NewNop(),
		Fatal: func(err error) { t.Error(err) },
	})
	if err != nil {
		t.Fatal(err)
	}
	linkServer, err := link.Listen(link.ServerConfig{Listener: ln, Auth: auth, Handle: func(ctx context.Context, st *link.Stream, first *fleetpb.Envelope) {
		hub.Serve(ctx, st, first.GetWatch())
	}})
	if err != nil {
		t.Fatal(err)
	}
	i := &instance{address: address, hub: hub}
	i.server = New(Config{
		Hub: hub, Replica: r, Pool: pool, Decode: decode, DecodeStored: decodeStored, Log: zap.NewNop(),
		Now: func() time.Duration { return watch.BootTime() + time.Duration(i.suspended.Load()) },
	})
	i.entry = watch.NewFollower(watch.FollowerConfig{
		Pool: pool, Seeds: []string{address},
		WatchRequest: func() *fleetpb.Watch {
			return &fleetpb.Watch{Self: &fleetpb.Peer{Name: "e", Role: watch.RoleEntry, Zone: "z1", Link: "e"}}
		},
		OnNews: func(*fleetpb.News) { time.Sleep(time.Duration(i.delay.Load())) },
		OnDocument: func(a *statepb.Adopted) error {
			i.version.Store(a.GetVersion())
			i.documents.Add(1)
			return nil
		},
		OnEvacuations: func(e *statepb.Evacuations) {
			time.Sleep(time.Duration(i.zonesDelay.Load()))
			i.zones.Store(e)
		},
		Log: zap.NewNop(),
	})
	t.Cleanup(func() {
		i.entry.Close()
		i.server.Close()
		linkServer.Close()
		hub.Close()
		r.Close()
		pool.Close()
		system.Shutdown()
	})
	i.await(t, "a leader and a watcher", func() bool { return r.Status().Role == raft.Leader && hub.WatcherCount() == 1 })
	return i
}

func (i *instance) await(t *testing.T, event string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); !done(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("no %s in time", event)
		}
	}
}

// decode takes every text for a document of version 7, an empty one for version 0, and rejects
// one that the decoder for committed documents accepts.
func decode(text []byte) (*site.Document, error) {
	if string(text) == "lax" || string(text) == "lax too" {
		return nil, errors.New("too lax")
	}
	return decodeStored(text)
}

func decodeStored(text []byte) (*site.Document, error) {
	if string(text) == "broken" {
		return nil, errors.New("broken")
	}
	d := &site.Document{Version: 7, Services: []site.Service{{Name: "s"}}}
	if len(text) == 0 {
		d.Version = 0
	}
	return d, nil
}

func upstream(state catalog.State, seq uint64) catalog.Upstream {
	return catalog.Upstream{ID: "u", Service: "s", Address: "u:1", State: state, StartTimeMs: 1, Seq: seq, LastSeen: time.Now()}
}

func TestDrainIsAcknowledgedBeforeAnEntryKnows(t *testing.T) {
	i := newInstance(t)
	ctx := context.Background()
	if err := i.server.Announce(ctx, upstream(catalog.Ready, 1)); err != nil {
		t.Fatal(err)
	}
	i.delay.Store(int64(propagationTimeout + 200*time.Millisecond))
	for seq, state := range []catalog.State{catalog.Draining, catalog.Left} {
		if err := i.server.Announce(ctx, upstream(state, uint64(seq+2))); err == nil {
			t.Errorf("%s was acknowledged although the entry has not seen it", state)
		}
	}
	i.delay.Store(0)
	i.await(t, "acknowledgement once the entry knows", func() bool { return i.server.Announce(ctx, upstream(catalog.Left, 9)) == nil })
}

func TestDocumentIsAcknowledgedBeforeEntriesApplyIt(t *testing.T) {
	i := newInstance(t)
	i.delay.Store(int64(300 * time.Millisecond))
	i.await(t, "acknowledgement of the document", func() bool { return i.server.PutDocument(context.Background(), []byte("text")) == nil })
	if got, want := i.version.Load(), uint64(7); got != want {
		t.Errorf("version %d in force when version %d was acknowledged", got, want)
	}
}

// An instance that only other control instances watch must acknowledge nothing that has to
// be known to the entries: it cannot tell them.
func TestInstanceWithoutEntriesAcknowledges(t *testing.T) {
	i := newInstance(t)
	i.entry.Close()
	pool := link.NewPool(link.PoolConfig{Auth: auth})
	other := watch.NewFollower(watch.FollowerConfig{
		Pool: pool, Seeds: []string{i.address},
		WatchRequest: func() *fleetpb.Watch {
			return &fleetpb.Watch{Self: &fleetpb.Peer{Name: "c", Role: watch.RoleControl, Link: "c"}}
		},
		OnNews: func(*fleetpb.News) {},
		Log:    zap.NewNop(),
	})
	defer pool.Close()
	defer other.Close()
	i.await(t, "a watcher that is no entry", func() bool { return i.hub.EntryCount() == 0 && other.ConnectedCount() == 1 })
	i.server.started = time.Now().Add(-2 * watcherGracePeriod)
	var none *NoEntriesError
	if err := i.server.Announce(context.Background(), upstream(catalog.Draining, 1)); !errors.As(err, &none) {
		t.Errorf("drain: got error %v, want a *NoEntriesError", err)
	}
	if err := i.server.PutDocument(context.Background(), []byte("text")); !errors.As(err, &none) {
		t.Errorf("document: got error %v, want a *NoEntriesError", err)
	}
}

// TestFirstDocumentOfVersionZeroIsStored guards against a first document that is acknowledged
// and neither stored nor put in force because its version is 0.
func TestFirstDocumentOfVersionZeroIsStored(t *testing.T) {
	i := newInstance(t)
	var none *NoDocumentError
	if _, err := i.server.Document(context.Background()); !errors.As(err, &none) {
		t.Errorf("got %v, want a NoDocumentError", err)
	}
	for range 2 {
		if err := i.server.PutDocument(context.Background(), nil); err != nil {
			t.Fatalf("put: %v", err)
		}
		if got, want := i.documents.Load(), uint64(1); got != want {
			t.Errorf("the entry has put %d documents in force, want %d", got, want)
		}
	}
	if _, err := i.server.Document(context.Background()); err != nil {
		t.Errorf("read back: %v", err)
	}
}

// TestCurrentDocumentIsAcknowledgedThoughRulesAreStricter guards against an operator who sends the
// document in force again, as after an answer that was lost, and has it refused by rules that the
// program did not have when it accepted the document; and against another document that gets by.
func TestCurrentDocumentIsAcknowledgedThoughRulesAreStricter(t *testing.T) {
	i := newInstance(t)
	ctx := context.Background()
	if _, err := i.server.propose(ctx, func() *statepb.Command { return &statepb.Command{Body: &statepb.Command_Adopt{Adopt: site.NewAdopt(7, []byte("lax"))}} }); err != nil {
		t.Fatalf("propose: %v", err)
	}
	if err := i.server.PutDocument(ctx, []byte("lax")); err != nil {
		t.Errorf("the document in force: got %v, want no error", err)
	}
	for _, text := range []string{"lax too", "broken"} {
		var invalid *InvalidDocumentError
		if err := i.server.PutDocument(ctx, []byte(text)); !errors.As(err, &invalid) {
			t.Errorf("%s: got %v, want an InvalidDocumentError", text, err)
		}
	}
	if got, err := i.server.Document(ctx); err != nil || string(got) != "lax" {
		t.Errorf("got %q, %v, want the first document", got, err)
	}
}
