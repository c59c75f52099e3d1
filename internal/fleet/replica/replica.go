package replica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"slices"
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
	// startupElectionTicks is the election timeout before the first election
	// after a start.
	startupElectionTicks = 4
	// voterRemovalTicks is the time without a response after which a voter is replaced
	// if a learner is ready. With a tick of 50 ms it is 1.5 s: a lost voter must be
	// replaced, after an election if it led, within the 4 s after which another
	// instance may be lost. A voter that is replaced too early only becomes a learner.
	voterRemovalTicks = 30
	// formingTicks is the time that the leader of a new log waits for as many voters as it
	// is to have. With a tick of 50 ms it is 3 s. Instances start within a moment of each
	// other at a first start; one that is still missing then is lost.
	formingTicks = 60
	// helloInterval is the time between hello messages of an instance that is
	// not a member yet.
	helloInterval = 300 * time.Millisecond
)

// Config configures a Replica.
type Config struct {
	// Name is the instance name, one of Peers unless AcceptUnlisted is set.
	Name string
	// DataDir is the data folder. FS, if not nil, is used in its place.
	DataDir string
	FS      disk.FS
	// InitialDocument is the configuration document that a new fleet is
	// bootstrapped with, see package document.
	InitialDocument string
	Peers           []control.Address
	// AcceptUnlisted lets instances join that are not in Peers. The name of each
	// instance must then be its link address.
	AcceptUnlisted bool
	// Discovered returns the link addresses of further control instances, which
	// need not be in Peers. It may be nil.
	Discovered func() []string
	// Formation says how an instance with an empty data folder may begin a log; nil
	// stands for FormWhenAllEmpty.
	Formation Formation
	// TargetVoters is the number of voters, an odd one. Further instances stay
	// learners and replace lost or leaving voters. No command is committed before so many
	// voters hold a new log, or the leader has waited for them. With 0, all become voters.
	TargetVoters int
	// OnSiteDocument is called with each committed site document (see package
	// site), in order. It may be nil and must not block.
	OnSiteDocument func(*statepb.Adopted)
	// OnEvacuations is called with the evacuated availability zones after the start
	// and after each change, in order. It may be nil and must not block.
	OnEvacuations func(*statepb.Evacuations)
	// OnEndedStarts is called with the ended starts of upstreams after the start and
	// after each further end, in order. It may be nil and must not block.
	OnEndedStarts func(*statepb.EndedStarts)
	// Tick is the length of a Raft tick.
	Tick time.Duration
	// SnapshotEntries is the number of entries between snapshots.
	SnapshotEntries uint64
	Pool            *link.Pool
	System          *actor.ActorSystem
	Timeline        *timeline.Recorder
	Log             *zap.Logger
	// Fatal is called with an error after which the process must exit.
	Fatal func(error)
}

// NotLeaderError rejects a request that only the leader may answer.
type NotLeaderError struct{ Leader string }

// Error names the leader to ask instead.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader; ask %q", e.Leader)
}

// ProposalDroppedError reports that the leader was replaced before the proposal
// was committed. It may still be committed.
type ProposalDroppedError struct{}

// Error says to send the command again.
func (e *ProposalDroppedError) Error() string {
	return "the leader changed before the command was committed; send it again"
}

// DiskFullError rejects a request to an instance whose disk is full.
type DiskFullError struct{}

// Error says to free space and to ask another instance.
func (e *DiskFullError) Error() string {
	return "the disk of this instance is full; make room there, and ask another instance"
}

// Status is the local status of a replica. It is not confirmed by a quorum.
type Status struct {
	raft.State
	LeaderName    string
	DocumentIndex uint64
	// ClaimCount is the number of claims in the state machine.
	ClaimCount int
	// Syncs is the number of syncs of the log to disk.
	Syncs uint64
	// AppliedIndex is the log index of the last applied entry.
	AppliedIndex uint64
}

// Replica is a running replica. It is safe for concurrent use.
type Replica struct {
	cfg      Config
	pid      *actor.PID
	status   atomic.Pointer[Status]
	document atomic.Pointer[control.LeasedDocument]
	senders  *senders
	started  time.Time
	// leaving is set once this instance leaves: it does not ask to join any more.
	leaving atomic.Bool
	done    chan struct{}
	wg      sync.WaitGroup
}

// NewIdentity returns a random disk identity, which is never zero.
func NewIdentity() uint64 {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(fmt.Sprintf("read random identity: %v", err))
	}
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// Start opens the data folder and starts the replica. A corrupted data folder
// is moved aside, and the instance takes a new disk identity.
func Start(cfg Config) (*Replica, error) {
	store, recovered, err := openStore(cfg)
	if err != nil {
		return nil, err
	}
	a := &stateActor{
		cfg:              cfg,
		store:            store,
		node:             raft.New(nodeConfig(cfg, recovered.Identity), recovered.InitialState),
		pendingProposals: make(map[uint64][]chan<- proposalResult),
		pendingAdopts:    make(map[uint64]*statepb.Command),
		pendingReads:     make(map[uint64]readMsg),
		roundStarts:      make(map[uint64]time.Time),
		peerNames:        make(map[uint64]string),
	}
	if recovered.Snapshot != nil {
		if a.machine, err = fsm.Restore(recovered.Snapshot.State); err != nil {
			return nil, err
		}
	}
	r := &Replica{cfg: cfg, started: time.Now(), done: make(chan struct{}), senders: newSenders(cfg)}
	a.replica = r
	r.document.Store(&control.LeasedDocument{})
	a.publish()
	a.notifySiteDocument()
	a.notifyEvacuations()
	a.notifyEndedStarts()
	r.pid = cfg.System.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return a }))
	a.self = r.pid
	r.wg.Add(2)
	go r.tickLoop()
	go r.joinLoop()
	return r, nil
}

func openStore(cfg Config) (*disk.Store, disk.Recovered, error) {
	fs := cfg.FS
	if fs == nil {
		var err error
		if fs, err = disk.DirFS(cfg.DataDir); err != nil {
			return nil, disk.Recovered{}, err
		}
	}
	store, recovered, err := disk.Open(disk.Config{FS: fs, NewIdentity: cfg.newIdentity})
	var corruption *disk.CorruptionError
	if !errors.As(err, &corruption) || cfg.DataDir == "" {
		return store, recovered, err
	}
	cfg.Log.Error("data folder is corrupted; moving it aside and starting with a new disk identity", zap.Error(err))
	if err := disk.Quarantine(cfg.DataDir, fmt.Sprintf("damaged-%d", time.Now().UnixMilli())); err != nil {
		return nil, disk.Recovered{}, err
	}
	return disk.Open(disk.Config{FS: fs, NewIdentity: NewIdentity})
}

func nodeConfig(cfg Config, id uint64) raft.Config {
	return raft.Config{
		ID:                   id,
		Name:                 cfg.Name,
		ElectionTicks:        electionTicks,
		StartupElectionTicks: startupElectionTicks,
		HeartbeatTicks:       heartbeatTicks,
		Jitter:               mrand.IntN,
		TargetVoters:         cfg.TargetVoters,
		VoterRemovalTicks:    voterRemovalTicks,
		FormingTicks:         formingTicks,
	}
}

// send puts a message into the actor's mailbox.
func (r *Replica) send(msg any) { r.cfg.System.Root.Send(r.pid, msg) }

func (r *Replica) tickLoop() {
	defer r.wg.Done()
	t := time.NewTicker(r.cfg.Tick)
	defer t.Stop()
	for {
		select {
		case <-r.done:
			return
		case <-t.C:
			r.send(&inputMsg{in: raft.Tick{}})
		}
	}
}

// Receive delivers a Raft message from the named replica.
func (r *Replica) Receive(from string, m *statepb.Message) {
	r.send(&receiveMsg{from: from, message: m})
}

// Propose commits a command as the leader and returns its result.
func (r *Replica) Propose(ctx context.Context, c *statepb.Command) (*statepb.Result, error) {
	done := make(chan proposalResult, 1)
	r.send(&proposeMsg{command: c, done: done})
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for commit: %w", ctx.Err())
	case res := <-done:
		return res.result, res.err
	}
}

// Read calls fn with the state once a quorum has confirmed this replica as the
// leader. fn must not retain the state machine.
func (r *Replica) Read(ctx context.Context, fn func(*fsm.Machine)) error {
	done := make(chan error, 1)
	r.send(&readMsg{fn: fn, done: done})
	select {
	case <-ctx.Done():
		return fmt.Errorf("wait for confirmation: %w", ctx.Err())
	case err := <-done:
		return err
	}
}

// Document returns the document and the last confirmation by a quorum, which is
// set only while this replica is the leader.
func (r *Replica) Document() *control.LeasedDocument { return r.document.Load() }

// Status returns the local status.
func (r *Replica) Status() Status { return *r.status.Load() }

// HandleHello replies to a hello message. The leader adds a sender that is not
// a member yet as a learner, and replaces one that leaves.
func (r *Replica) HandleHello(h *fleetpb.Hello) *fleetpb.HelloReply {
	s := r.Status()
	reply := &fleetpb.HelloReply{Name: r.cfg.Name, Identity: s.ID, Empty: s.LastIndex == 0}
	if s.Role != raft.Leader {
		return reply
	}
	if h.Leaving {
		reply.Leave = leaveState(s, h.Identity)
		r.send(&inputMsg{in: raft.Leave{ID: h.Identity}})
	} else if h.Empty && r.mayJoin(h.Name) {
		r.send(&inputMsg{in: raft.Join{Name: h.Name, ID: h.Identity}})
	}
	return reply
}

func (r *Replica) mayJoin(name string) bool {
	return r.cfg.AcceptUnlisted || r.cfg.isPeer(name)
}

// isPeer reports whether the named instance is one of Peers.
func (cfg Config) isPeer(name string) bool {
	return slices.ContainsFunc(cfg.Peers, func(p control.Address) bool { return p.Name == name })
}

// TransferLeadership asks another voter to become the leader and waits until
// this replica no longer leads or ctx ends.
func (r *Replica) TransferLeadership(ctx context.Context) {
	r.send(&inputMsg{in: raft.TransferLeadership{}})
	for r.Status().Role == raft.Leader {
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.cfg.Tick):
		}
	}
}

// Close stops the replica, waits for its goroutines, and closes the data folder.
func (r *Replica) Close() error {
	close(r.done)
	r.wg.Wait()
	err := r.cfg.System.Root.StopFuture(r.pid).Wait()
	r.senders.close()
	if err != nil {
		return fmt.Errorf("stop replica: %w", err)
	}
	return nil
}
