package pooling

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/serve/capacity"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// entry is an entry with real links.
type entry struct {
	model    *capacity.Model
	links    *link.Pool
	server   *link.Server
	exchange *Exchange
}

func (e *entry) stop() {
	e.exchange.Close()
	e.links.Close()
	e.server.Close()
}

// startEntries starts entries that know each other.
func startEntries(t *testing.T, n int) []*entry {
	t.Helper()
	var mu sync.Mutex
	var addresses []string
	live := func() []string {
		mu.Lock()
		defer mu.Unlock()
		return addresses
	}
	auth := link.Auth{Key: []byte("a fleet key for the tests")}
	var out []*entry
	for i := range n {
		e := &entry{model: capacity.NewModel()}
		local := link.Local{Name: fmt.Sprint("entry-", i)}
		e.links = link.NewPool(link.PoolConfig{Local: local, Auth: auth})
		ready := make(chan struct{})
		var err error
		e.server, err = link.Listen(link.ServerConfig{Address: "127.0.0.1:0", Local: local, Auth: auth, Handle: func(ctx context.Context, st *link.Stream, first *fleetpb.Envelope) {
			<-ready
			e.exchange.Serve(ctx, st, first)
		}})
		if err != nil {
			t.Fatal(err)
		}
		e.exchange = New(Config{Model: e.model, Links: e.links, Self: e.server.Address(), Entries: live})
		close(ready)
		t.Cleanup(e.stop)
		out = append(out, e)
	}
	mu.Lock()
	defer mu.Unlock()
	for _, e := range out {
		addresses = append(addresses, e.server.Address())
	}
	return out
}

// observe lets an entry observe four exchanges of each of five upstreams, of which one
// takes slow times as long.
func (e *entry) observe(slow float64) {
	for i := range 20 {
		took := 100 * time.Millisecond
		if i%5 == 0 {
			took = time.Duration(slow * float64(took))
		}
		e.model.Observe(time.Now(), capacity.Observation{Query: capacity.Query{Service: "llm", Upstream: engineID(i % 5), Load: 1}, Took: took})
	}
}

// awaitPace waits until an entry believes that the first upstream is slow, while all
// entries but that one go on observing it.
func awaitPace(t *testing.T, entries []*entry, waiting *entry) {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for time.Now().Before(deadline) {
		for _, e := range entries {
			if e == waiting {
				e.model.Observe(time.Now(), capacity.Observation{Query: capacity.Query{Service: "llm", Upstream: engineID(1), Load: 1}, Took: 100 * time.Millisecond})
				continue
			}
			e.observe(5)
		}
		if waiting.model.Pace(time.Now(), "llm", engineID(0)) > 2 {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	t.Fatal("the entry did not learn within 30 s of a slow upstream that the others observe")
}

// Guards against entries that do not find the pooling entry, and against reports that end
// with it: the next one takes over, and a service that only starts then is pooled too.
func TestObservationsArePooledOverLinks(t *testing.T) {
	present := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, present) })
	entries := startEntries(t, 4)
	address := entries[0].exchange.poolingEntry(time.Now(), "llm")
	pooling := 0
	for i, e := range entries {
		if e.server.Address() == address {
			pooling = i
		}
	}
	waiting := entries[(pooling+1)%4]
	awaitPace(t, entries, waiting)
	if got := entries[pooling].exchange.Streams(); got != 3 {
		t.Errorf("the pooling entry has %d streams, want 3", got)
	}
	if sent, received := waiting.exchange.Bytes(); sent == 0 || received == 0 {
		t.Errorf("the entry has sent %d bytes and received %d, want some", sent, received)
	}
	entries[pooling].stop()
	left := append(append([]*entry(nil), entries[:pooling]...), entries[pooling+1:]...)
	// What the entry knows would last for seconds, so it starts anew.
	waiting.model.Forget("llm", engineID(0))
	awaitPace(t, left, waiting)
}
