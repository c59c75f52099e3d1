package batcher

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/serve/batching"
	"hawthornhub.example/hawthornhub/internal/state/site"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// committedAt returns the number of pieces that are committed at an owner.
func committedAt(o *Owner) int {
	sum := 0
	for _, c := range o.Commitments() {
		sum += c.Pieces
	}
	return sum
}

// expectCommitted waits until a number of pieces is committed at an owner.
func expectCommitted(t *testing.T, what string, o *Owner, want int) {
	t.Helper()
	got := 0
	for until := time.Now().Add(waitLimit); time.Now().Before(until); time.Sleep(2 * time.Millisecond) {
		if got = committedAt(o); got == want {
			return
		}
	}
	t.Fatalf("%s: %d pieces are committed, want %d", what, got, want)
}

func rankedJob(rank site.Rank, n int) Job {
	j := newJob("r", n)
	j.Rank = rank
	return j
}

// Guards against owners that do not know what admitted requests will send, and against
// gateways that know a current wait from results alone.
func TestCommitmentsReachOwnerAndReturnBacklog(t *testing.T) {
	p := newOwnerProcess(t, newFakeUpstream(t))
	r := newRouter(t, newOwner(t, 1<<40, newFakeUpstream(t)), "self", func() []string { return []string{p.server.Address()} })
	sent, withdrawn := r.Commit(rankedJob(1, 600)), r.Commit(rankedJob(3, 300))
	expectCommitted(t, "after both commitments", p.owner, 900)
	wait := func(rank site.Rank) time.Duration {
		onTime, _ := r.CommittedWait("scan", "", "", rank)
		return onTime
	}
	eventually(t, "the backlog", func() bool { return wait(3) > wait(1) && wait(1) > wait(0) })
	if got, want := wait(0), time.Duration(0); got != want {
		t.Errorf("wait of rank 0 is %v, want %v", got, want)
	}
	sent.Sent()
	sent.Withdraw()
	expectCommitted(t, "after one was sent", p.owner, 300)
	withdrawn.Withdraw()
	expectCommitted(t, "after the other was withdrawn", p.owner, 0)
	eventually(t, "the empty backlog", func() bool { return wait(3) == 0 })
}

// Guards against a burst that starts at once because the owner's last backlog shows none of
// it yet.
func TestCommitmentCountsBeforeOwnerKnows(t *testing.T) {
	p := newOwnerProcess(t, newFakeUpstream(t))
	r := newRouter(t, newOwner(t, 1<<40, newFakeUpstream(t)), "self", func() []string { return []string{p.server.Address()} })
	r.Commit(rankedJob(1, 6)).Withdraw()
	eventually(t, "the first backlog", func() bool {
		r.commitments.mu.Lock()
		defer r.commitments.mu.Unlock()
		return r.commitments.shards[shard{service: "scan"}].piece > 0
	})
	before, _ := r.CommittedWait("scan", "", "", 1)
	c := r.Commit(rankedJob(1, 600))
	after, _ := r.CommittedWait("scan", "", "", 1)
	if after <= before {
		t.Errorf("wait of %v at once after the commitment, want more than the %v before", after, before)
	}
	c.Withdraw()
	if got, _ := r.CommittedWait("scan", "", "", 1); got >= after {
		t.Errorf("wait of %v after the commitment was withdrawn, want less than %v", got, after)
	}
}

// Guards against the loss of commitments with their owner: the next one must get the
// absolute numbers although nothing has changed.
func TestNextOwnerGetsCommitments(t *testing.T) {
	first, second := newOwnerProcess(t, newFakeUpstream(t)), newOwnerProcess(t, newFakeUpstream(t))
	addresses := []string{first.server.Address(), second.server.Address()}
	if owner, _ := ownerOf(shard{service: "scan"}, candidates(addresses...), noneLost); owner.Link != addresses[0] {
		first, second = second, first
	}
	r := newRouter(t, newOwner(t, 1<<40, newFakeUpstream(t)), "self", func() []string { return addresses })
	r.Commit(rankedJob(1, 7))
	r.Commit(rankedJob(2, 5))
	expectCommitted(t, "at the first owner", first.owner, 12)
	first.server.Close()
	expectCommitted(t, "at the next owner", second.owner, 12)
	expectCommitted(t, "at the lost owner", first.owner, 0)
}

// Guards against the loss of commitments with a cut link: the owner drops them with the
// stream, and must get them again although nothing has changed.
func TestCommitmentsAreToldAgainAfterCutLink(t *testing.T) {
	p := newOwnerProcess(t, newFakeUpstream(t))
	address := p.server.Address()
	r := newRouter(t, newOwner(t, 1<<40, newFakeUpstream(t)), "self", func() []string { return []string{address} })
	r.Commit(rankedJob(1, 7))
	expectCommitted(t, "before the cut", p.owner, 7)
	o := r.remote(address)
	o.mu.Lock()
	o.stream.Close()
	o.mu.Unlock()
	eventually(t, "the end of the stream", func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return o.stream == nil
	})
	eventually(t, "another stream", func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return o.stream != nil
	})
	time.Sleep(2 * commitInterval)
	expectCommitted(t, "after the cut", p.owner, 7)
}

// Guards against numbers that stay at an owner that is none any more but lives: it would
// hold back requests when it is the owner again.
func TestFormerOwnerForgetsCommitments(t *testing.T) {
	first, second := newOwnerProcess(t, newFakeUpstream(t)), newOwnerProcess(t, newFakeUpstream(t))
	var address atomic.Value
	address.Store(first.server.Address())
	own := newOwner(t, 1<<40, newFakeUpstream(t))
	r := newRouter(t, own, "self", func() []string { return []string{address.Load().(string)} })
	c := r.Commit(rankedJob(1, 7))
	expectCommitted(t, "at the first owner", first.owner, 7)
	address.Store(second.server.Address())
	expectCommitted(t, "at the second owner", second.owner, 7)
	expectCommitted(t, "at the former owner", first.owner, 0)
	address.Store("self")
	expectCommitted(t, "at this process", own, 7)
	expectCommitted(t, "at the former owner", second.owner, 0)
	address.Store(first.server.Address())
	expectCommitted(t, "at the first owner again", first.owner, 7)
	expectCommitted(t, "at this process afterwards", own, 0)
	c.Withdraw()
	expectCommitted(t, "at the end", first.owner, 0)
}

// Guards against the commitments of a gateway that died: nobody would take them back.
func TestCommitmentsOfDeadGatewayAreDropped(t *testing.T) {
	p := newOwnerProcess(t, newFakeUpstream(t))
	gateway := func() *Router {
		return newRouter(t, newOwner(t, 1<<40, newFakeUpstream(t)), "self", func() []string { return []string{p.server.Address()} })
	}
	dead, alive := gateway(), gateway()
	dead.Commit(rankedJob(1, 100))
	alive.Commit(rankedJob(1, 10))
	expectCommitted(t, "of both gateways", p.owner, 110)
	dead.Close()
	expectCommitted(t, "of the other gateway", p.owner, 10)
}

// Guards against requests that wait for an owner that does not answer, and against a wait
// that never loses its weight.
func TestGatewayGoesOnWithoutAnswers(t *testing.T) {
	r, _ := newFrozenOwner(t)
	s := shard{service: "scan"}
	r.recordBacklog(s, batching.Backlog{Ranks: []batching.RankWait{{Rank: 1, Wait: time.Second}}, Total: time.Second})
	start := time.Now()
	first, _ := r.CommittedWait("scan", "", "", 1)
	for range 100 {
		r.Commit(rankedJob(1, 3)).Sent()
	}
	if took, want := time.Since(start), connectTimeout/4; took > want {
		t.Errorf("100 commitments took %v, want %v at most", took, want)
	}
	if first < 900*time.Millisecond {
		t.Errorf("wait of %v at first, want about a second", first)
	}
	r.mu.Lock()
	r.backlogs[s] = reportedBacklog{waits: r.backlogs[s].waits, at: time.Now().Add(-backlogLifetime / 2)}
	r.mu.Unlock()
	if got, _ := r.CommittedWait("scan", "", "", 1); got > 600*time.Millisecond {
		t.Errorf("wait of %v after half of the lifetime of a backlog, want about half a second", got)
	}
}

// earlierProgram serves an owner as a program that does not know commitments does: it ends a
// stream that begins with an unknown message and ignores later ones. It counts the streams.
func earlierProgram(t *testing.T, o *Owner) (address string, streams *atomic.Int64) {
	t.Helper()
	streams = &atomic.Int64{}
	server, err := link.Listen(link.ServerConfig{
		Address: "127.0.0.1:0",
		Auth:    link.Auth{Key: []byte("a key for the tests")},
		Handle: func(ctx context.Context, st *link.Stream, first *fleetpb.Envelope) {
			streams.Add(1)
			s := &peerSession{owner: o, stream: st, cancels: make(map[uint64]context.CancelFunc)}
			if first.GetPieceCall() == nil && first.GetPieceRelease() == nil {
				return
			}
			for e, err := first, error(nil); err == nil; e, err = st.Recv() {
				if e.GetPieceCommitments() == nil {
					s.handle(ctx, e)
				}
			}
			s.wg.Wait()
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return server.Address(), streams
}

// Guards against an owner with an earlier program that loses its jobs because of messages
// that it does not know.
func TestEarlierProgramIgnoresCommitments(t *testing.T) {
	address, streams := earlierProgram(t, newOwner(t, 1<<40, newFakeUpstream(t)))
	own := newFakeUpstream(t)
	r := newRouter(t, newOwner(t, 1<<40, own), "self", func() []string { return []string{address} })
	c := r.Commit(rankedJob(1, 7))
	eventually(t, "the stream that begins with commitments", func() bool { return streams.Load() > 0 })
	time.Sleep(2 * commitInterval)
	for i := range 3 {
		checkCompleted(t, r.Do(context.Background(), newJob(fmt.Sprint("r", i), 2)), fmt.Sprint("r", i), 2)
		r.CommittedWait("scan", "", "", 1)
		time.Sleep(2 * commitInterval)
	}
	c.Withdraw()
	if got, want := streams.Load(), int64(1); got != want {
		t.Errorf("%d streams, want %d", got, want)
	}
	if calls, _ := own.recorded(); len(calls) != 0 {
		t.Errorf("%d calls by the local owner, want 0", len(calls))
	}
}

// commitmentRecorder records the messages with commitments of one gateway, and never
// answers.
type commitmentRecorder struct {
	mu       sync.Mutex
	messages []*fleetpb.PieceCommitments
	times    []time.Time
}

func (c *commitmentRecorder) listen(t *testing.T) string {
	t.Helper()
	server, err := link.Listen(link.ServerConfig{
		Address: "127.0.0.1:0",
		Auth:    link.Auth{Key: []byte("a key for the tests")},
		Handle: func(_ context.Context, st *link.Stream, first *fleetpb.Envelope) {
			for e, err := first, error(nil); err == nil; e, err = st.Recv() {
				if m := e.GetPieceCommitments(); m != nil {
					c.mu.Lock()
					c.messages, c.times = append(c.messages, m), append(c.times, time.Now())
					c.mu.Unlock()
				}
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return server.Address()
}

// Guards against messages that take the owner's time: one for each change, or of any size.
func TestCommitmentMessagesAreBounded(t *testing.T) {
	var seen commitmentRecorder
	address := seen.listen(t)
	r := newRouter(t, newOwner(t, 1<<40, newFakeUpstream(t)), "self", func() []string { return []string{address} })
	start := time.Now()
	pieces, changes := 0, 0
	for time.Since(start) < 8*commitInterval {
		j := rankedJob(site.Rank(changes%7), 1+changes%5)
		j.Account = fmt.Sprint("account", changes%300)
		r.Commit(j)
		pieces += j.Pieces
		changes++
		time.Sleep(200 * time.Microsecond)
	}
	sum := func() int {
		seen.mu.Lock()
		defer seen.mu.Unlock()
		sum := 0
		if n := len(seen.messages); n > 0 {
			for _, c := range seen.messages[n-1].Pieces {
				sum += int(c.Pieces)
			}
		}
		return sum
	}
	eventually(t, "the message with all pieces", func() bool { return sum() == pieces })
	seen.mu.Lock()
	defer seen.mu.Unlock()
	if got, limit := len(seen.messages), int(time.Since(start)/commitInterval)+2; got > limit {
		t.Errorf("%d messages for %d changes, want %d at most", got, changes, limit)
	}
	for _, m := range seen.messages {
		if got := len(m.Pieces); got > maxCommitments {
			t.Errorf("%d entries in a message, want %d at most", got, maxCommitments)
		}
	}
	if !slices.IsSortedFunc(seen.messages, func(a, b *fleetpb.PieceCommitments) int { return int(a.Seq) - int(b.Seq) }) {
		t.Error("the numbers of the messages do not ascend")
	}
}

// Guards against numbers that add up when a message is repeated or another one is lost.
func TestCommitmentsAreAbsolute(t *testing.T) {
	o := newOwner(t, 1<<40, newFakeUpstream(t))
	s, held := shard{service: "scan"}, heldCommitments{}
	set := func(pieces ...int) {
		var next []batching.Commitment
		for rank, n := range pieces {
			next = append(next, batching.Commitment{Rank: site.Rank(rank), Pieces: n})
		}
		held.set(o, s, next)
	}
	for _, step := range []struct {
		pieces []int
		want   int
	}{{[]int{3, 4}, 7}, {[]int{3, 4}, 7}, {[]int{0, 9}, 9}, {nil, 0}, {[]int{1}, 1}} {
		set(step.pieces...)
		if got := committedAt(o); got != step.want {
			t.Errorf("%v: %d pieces are committed, want %d", step.pieces, got, step.want)
		}
	}
	held.drop(o)
	if got := committedAt(o); got != 0 {
		t.Errorf("%d pieces are committed at the end, want 0", got)
	}
}

// Guards against results that nobody releases: the job was abandoned while they were on the
// way, and they would take memory until they expire.
func TestResultOfAbandonedJobIsReleased(t *testing.T) {
	called, released := make(chan struct{}), make(chan []string, 1)
	server, err := link.Listen(link.ServerConfig{
		Address: "127.0.0.1:0",
		Auth:    link.Auth{Key: []byte("a key for the tests")},
		Handle: func(_ context.Context, st *link.Stream, first *fleetpb.Envelope) {
			close(called)
			for e, err := first, error(nil); err == nil; e, err = st.Recv() {
				if c := e.GetPieceCancel(); c != nil {
					result := pieceResult(c.Id, Completed{Handles: []string{"127.0.0.1:1/x"}})
					if err := st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_PieceResult{PieceResult: result}}); err != nil {
						t.Error(err)
					}
				}
				if r := e.GetPieceRelease(); r != nil {
					released <- r.Handles
				}
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	r := newRouter(t, newOwner(t, 1<<40, newFakeUpstream(t)), "self", func() []string { return []string{server.Address()} })
	ctx, leave := context.WithCancel(context.Background())
	done := make(chan Result, 1)
	go func() { done <- r.Do(ctx, newJob("r", 1)) }()
	<-called
	leave()
	if got, ok := (<-done).(Failed); !ok {
		t.Errorf("got %+v, want Failed", got)
	}
	select {
	case got := <-released:
		if want := []string{"127.0.0.1:1/x"}; !slices.Equal(got, want) {
			t.Errorf("released %v, want %v", got, want)
		}
	case <-time.After(waitLimit / 4):
		t.Error("the result was not released")
	}
}
