package replica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/control"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/fleet/timeline"
	"hawthornhub.example/hawthornhub/internal/state/disk"
	"hawthornhub.example/hawthornhub/internal/state/fsm"
	"hawthornhub.example/hawthornhub/internal/state/raft"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

const (
	electionTicks  = 10
	heartbeatTicks = 2
	// firstTicks is the silence before the first election after a start.
	firstTicks = 4
	// retireTicks is the silence after which a voter too many is removed.
	retireTicks = 100
	// hello is the time between introductions of an instance without a log.
	hello = 300 * time.Millisecond
)

// Config starts a Replica.
type Config struct {
	// Name is the instance name, one of Peers.
	Name string
	// DataDir is the data folder; Files goes before it.
	DataDir string
	Files   disk.FS
	// Document is the first document, used when the fleet is formed.
	Document string
	Peers    []control.Address
	// Open lets instances join that Peers does not list. The names of all
	// instances are then their link addresses.
	Open bool
	// Found returns the link addresses of control instances that were found
	// besides Peers; nil finds none.
	Found func() []string
	// Joins keeps an instance with an empty folder from forming a fleet: it
	// waits to be admitted to one.
	Joins bool
	// Voters is the number of voters to return to once more have joined; 0
	// keeps all.
	Voters int
	// Adopted is told of each site document that is committed, in order; nil
	// is told nothing. It must not block.
	Adopted func(*statepb.Adopted)
	// Tick is the length of a tick of the log.
	Tick time.Duration
	// SnapshotEntries is the number of entries between snapshots.
	SnapshotEntries uint64
	Pool            *link.Pool
	System          *actor.ActorSystem
	Timeline        *timeline.Recorder
	Log             *zap.Logger
	// Fatal is told of an error after which the process must end.
	Fatal func(error)
}

// NotLeaderError refuses a request that only the leader may answer.
type NotLeaderError struct{ Leader string }

// Error names the remedy.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader; ask %q", e.Leader)
}

// DroppedError reports a proposal whose leader was replaced before it was
// committed. It may still be committed.
type DroppedError struct{}

// Error names the remedy.
func (e *DroppedError) Error() string {
	return "the leader changed before the command was committed; send it again"
}

// StalledError refuses a request on an instance whose disk is full.
type StalledError struct{}

// Error names the remedy.
func (e *StalledError) Error() string {
	return "the disk of this instance is full; make room there, and ask another instance"
}

// View is what a replica tells of itself without confirmation.
type View struct {
	raft.State
	LeaderName string
	Document   uint64
	Claims     int
	Syncs      uint64
	Applied    uint64
}

// Replica is a running replica. It is safe for concurrent use.
type Replica struct {
	cfg  Config
	pid  *actor.PID
	view atomic.Pointer[View]
	held atomic.Pointer[control.Held]
	send *senders
	done chan struct{}
	wg   sync.WaitGroup
}

// NewIdentity returns a random disk identity, never zero.
func NewIdentity() uint64 {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(fmt.Sprintf("read random identity: %v", err))
	}
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// Start opens the data folder and begins to take part. A folder that is
// damaged is set aside, and the instance takes a new disk identity.
func Start(cfg Config) (*Replica, error) {
	store, opened, err := openStore(cfg)
	if err != nil {
		return nil, err
	}
	h := &host{
		cfg:     cfg,
		store:   store,
		node:    raft.New(nodeConfig(cfg, opened.Identity), opened.InitialState),
		pending: make(map[uint64]chan<- answer),
		reads:   make(map[uint64]readMsg),
		rounds:  make(map[uint64]time.Time),
		names:   make(map[uint64]string),
	}
	if opened.Snapshot != nil {
		if h.machine, err = fsm.Restore(opened.Snapshot.State); err != nil {
			return nil, err
		}
	}
	r := &Replica{cfg: cfg, done: make(chan struct{}), send: newSenders(cfg)}
	h.replica = r
	r.held.Store(&control.Held{})
	h.publish()
	h.tellAdopted()
	r.pid = cfg.System.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return h }))
	h.self = r.pid
	r.wg.Add(2)
	go r.tick()
	go r.introduce()
	return r, nil
}

func openStore(cfg Config) (*disk.Store, disk.Recovered, error) {
	files := cfg.Files
	if files == nil {
		var err error
		if files, err = disk.DirFS(cfg.DataDir); err != nil {
			return nil, disk.Recovered{}, err
		}
	}
	store, opened, err := disk.Open(disk.Config{FS: files, NewIdentity: NewIdentity})
	var damage *disk.CorruptionError
	if !errors.As(err, &damage) || cfg.DataDir == "" {
		return store, opened, err
	}
	cfg.Log.Error("data folder damaged, set aside", zap.Error(err))
	if err := disk.Quarantine(cfg.DataDir, fmt.Sprintf("damaged-%d", time.Now().UnixMilli())); err != nil {
		return nil, disk.Recovered{}, err
	}
	return disk.Open(disk.Config{FS: files, NewIdentity: NewIdentity})
}

func nodeConfig(cfg Config, id uint64) raft.Config {
	return raft.Config{
		ID:                   id,
		Name:                 cfg.Name,
		ElectionTicks:        electionTicks,
		StartupElectionTicks: firstTicks,
		HeartbeatTicks:       heartbeatTicks,
		Jitter:               mrand.IntN,
		TargetVoters:         cfg.Voters,
		VoterRemovalTicks:    retireTicks,
	}
}

func (r *Replica) tell(msg any) { r.cfg.System.Root.Send(r.pid, msg) }

func (r *Replica) tick() {
	defer r.wg.Done()
	t := time.NewTicker(r.cfg.Tick)
	defer t.Stop()
	for {
		select {
		case <-r.done:
			return
		case <-t.C:
			r.tell(&inputMsg{in: raft.Tick{}})
		}
	}
}

// Receive delivers a message of the named replica.
func (r *Replica) Receive(from string, m *statepb.Message) {
	r.tell(&receiveMsg{from: from, message: m})
}

// Propose commits a command as the leader and returns its result.
func (r *Replica) Propose(ctx context.Context, c *statepb.Command) (*statepb.Result, error) {
	done := make(chan answer, 1)
	r.tell(&proposeMsg{command: c, done: done})
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for commit: %w", ctx.Err())
	case a := <-done:
		return a.result, a.err
	}
}

// Read runs fn on the state once a quorum has confirmed this leader. fn must
// not keep the machine.
func (r *Replica) Read(ctx context.Context, fn func(*fsm.Machine)) error {
	done := make(chan error, 1)
	r.tell(&readMsg{fn: fn, done: done})
	select {
	case <-ctx.Done():
		return fmt.Errorf("wait for confirmation: %w", ctx.Err())
	case err := <-done:
		return err
	}
}

// Inspect runs fn on the state as it is here, without confirmation. fn must
// not keep the machine, which is nil before the first snapshot.
func (r *Replica) Inspect(ctx context.Context, fn func(*fsm.Machine)) error {
	done := make(chan error, 1)
	r.tell(&inspectMsg{fn: fn, done: done})
	select {
	case <-ctx.Done():
		return fmt.Errorf("wait for replica: %w", ctx.Err())
	case err := <-done:
		return err
	}
}

// Held returns the document with the leader's last confirmation. It is only
// confirmed while this replica leads.
func (r *Replica) Held() *control.Held { return r.held.Load() }

// View returns what the replica tells of itself.
func (r *Replica) View() View { return *r.view.Load() }

// Hello answers another instance's introduction and, as the leader, admits it.
func (r *Replica) Hello(h *fleetpb.Hello) *fleetpb.HelloReply {
	v := r.View()
	if h.Empty && v.Role == raft.Leader && r.isPeer(h.Name) {
		r.tell(&inputMsg{in: raft.Join{Name: h.Name, ID: h.Identity}})
	}
	return &fleetpb.HelloReply{Name: r.cfg.Name, Identity: v.ID, Empty: v.LastIndex == 0}
}

func (r *Replica) isPeer(name string) bool {
	if r.cfg.Open {
		return true
	}
	for _, p := range r.cfg.Peers {
		if p.Name == name {
			return true
		}
	}
	return false
}

// HandOver asks the leader role to move elsewhere and waits until it has, or
// until ctx ends.
func (r *Replica) HandOver(ctx context.Context) {
	r.tell(&inputMsg{in: raft.TransferLeadership{}})
	for r.View().Role == raft.Leader {
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.cfg.Tick):
		}
	}
}

// Close stops taking part, waits, and closes the data folder.
func (r *Replica) Close() error {
	close(r.done)
	r.wg.Wait()
	err := r.cfg.System.Root.StopFuture(r.pid).Wait()
	r.send.close()
	if err != nil {
		return fmt.Errorf("stop replica: %w", err)
	}
	return nil
}
