package replica

import (
	"errors"
	"fmt"
	"maps"
	mrand "math/rand/v2"
	"slices"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/state/disk"
	"hawthornhub.example/hawthornhub/internal/state/evacuation"
	"hawthornhub.example/hawthornhub/internal/state/fsm"
	"hawthornhub.example/hawthornhub/internal/state/raft"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

type proposalResult struct {
	result *statepb.Result
	err    error
}

type (
	inputMsg   struct{ in raft.Input }
	receiveMsg struct {
		from    string
		message *statepb.Message
	}
	proposeMsg struct {
		command *statepb.Command
		done    chan<- proposalResult
	}
	readMsg struct {
		fn   func(*fsm.Machine)
		done chan<- error
	}
	formMsg  struct{ names map[uint64]string }
	flushMsg struct{}
)

// stateActor owns the Raft node, its storage and the state machine. Only its
// mailbox goroutine uses the fields.
type stateActor struct {
	cfg     Config
	replica *Replica
	self    *actor.PID
	store   *disk.Store
	node    *raft.Node
	machine *fsm.Machine
	// effects are yet to be executed, and commands yet to be proposed to node.
	effects  []raft.Effect
	commands []*statepb.Command
	// flushQueued is set while a flushMsg is in the mailbox.
	flushQueued bool
	// pendingProposals is keyed by command nonce, pendingReads by read ID.
	pendingProposals map[uint64][]chan<- proposalResult
	// pendingAdopts holds the pending proposals of site documents by version.
	pendingAdopts map[uint64]*statepb.Command
	pendingReads  map[uint64]readMsg
	lastReadID    uint64
	// roundStarts holds the start times of heartbeat rounds that have not been
	// confirmed.
	roundStarts map[uint64]time.Time
	// confirmedAt is the start of the latest round confirmed by a quorum.
	confirmedAt time.Time
	// snapshotIndex is the log index of the latest snapshot.
	snapshotIndex uint64
	// notified is the site document last passed to Config.OnSiteDocument, nil before the
	// first one.
	notified *statepb.Adopted
	// notifiedEvacuations is the log index of the evacuated zones last passed to
	// Config.OnEvacuations.
	notifiedEvacuations uint64
	// notifiedEnds is the log index of the ended starts last passed to
	// Config.OnEndedStarts.
	notifiedEnds uint64
	lastRole     raft.Role
	// loggedVoters is the log index of the membership that was logged last.
	loggedVoters uint64
	// peerNames maps the disk identities of senders to instance names. A replica
	// with an empty log has no other source for them.
	peerNames map[uint64]string
	// failed is set after a fatal error; all messages are ignored from then on.
	failed bool
	// diskFull is set while the disk is full: effects are retained until they
	// can be written, and no Raft input is accepted.
	diskFull bool
}

const diskFullRetryInterval = 100 * time.Millisecond

// Receive handles one message from the mailbox.
func (a *stateActor) Receive(ctx actor.Context) {
	if a.failed {
		return
	}
	if a.diskFull && !a.filterDiskFull(ctx.Message()) {
		return
	}
	switch msg := ctx.Message().(type) {
	case *inputMsg:
		a.step(msg.in)
	case *receiveMsg:
		a.peerNames[msg.message.From] = msg.from
		a.step(raft.Receive{Message: msg.message})
	case *proposeMsg:
		a.propose(msg)
	case *readMsg:
		a.read(msg)
	case *formMsg:
		a.form(msg.names)
	case *flushMsg:
		a.flush()
	case *actor.Stopped:
		a.stop()
	}
	if (len(a.effects) > 0 || a.mayPropose()) && !a.flushQueued {
		a.flushQueued = true
		ctx.Send(ctx.Self(), &flushMsg{})
	}
}

// filterDiskFull rejects proposals and reads while the disk is full, discards
// Raft input, and reports whether msg is to be handled as usual. To the other
// replicas, the instance appears unresponsive.
func (a *stateActor) filterDiskFull(msg any) bool {
	switch msg := msg.(type) {
	case *proposeMsg:
		msg.done <- proposalResult{err: &DiskFullError{}}
	case *readMsg:
		msg.done <- &DiskFullError{}
	case *flushMsg, *actor.Stopped:
		return true
	}
	return false
}

// retryWhenDiskFull puts effects back in front and schedules another flush.
func (a *stateActor) retryWhenDiskFull(effects []raft.Effect, full error) {
	if !a.diskFull {
		a.cfg.Log.Error("disk full; replica is paused until a write succeeds", zap.Error(full))
	}
	a.diskFull = true
	a.effects = append(effects, a.effects...)
	a.flushQueued = true
	time.AfterFunc(diskFullRetryInterval, func() { a.replica.send(&flushMsg{}) })
}

func (a *stateActor) step(in raft.Input) {
	a.effects = append(a.effects, a.node.Step(in)...)
}

func (a *stateActor) propose(msg *proposeMsg) {
	if a.node.State().Role != raft.Leader {
		msg.done <- proposalResult{err: &NotLeaderError{Leader: a.leaderName()}}
		return
	}
	if a.joinAdopt(msg) {
		return
	}
	msg.command.Nonce = mrand.Uint64()
	msg.command.NowMs = time.Now().UnixMilli()
	a.pendingProposals[msg.command.Nonce] = []chan<- proposalResult{msg.done}
	if adopt := msg.command.GetAdopt(); adopt != nil {
		a.pendingAdopts[adopt.Version] = msg.command
	}
	a.commands = append(a.commands, msg.command)
}

// joinAdopt answers the proposal of a site document that changes nothing, or lets it
// wait for a pending proposal of the same document, and reports whether it did either.
// An operator sends a document again until it is acknowledged; as an entry each, copies
// would delay its commit further.
func (a *stateActor) joinAdopt(msg *proposeMsg) bool {
	adopt := msg.command.GetAdopt()
	if adopt == nil || a.machine == nil {
		return false
	}
	if d := a.machine.SiteDocument(); d != nil && d.GetVersion() >= adopt.Version {
		msg.done <- proposalResult{result: a.machine.AdoptResult()}
		return true
	}
	pending := a.pendingAdopts[adopt.Version]
	if pending == nil || !proto.Equal(pending.GetAdopt(), adopt) {
		return false
	}
	a.pendingProposals[pending.Nonce] = append(a.pendingProposals[pending.Nonce], msg.done)
	return true
}

// completeProposal passes the result of a proposal to all that wait for it.
func (a *stateActor) completeProposal(nonce uint64, result proposalResult) {
	for _, done := range a.pendingProposals[nonce] {
		done <- result
	}
	delete(a.pendingProposals, nonce)
	maps.DeleteFunc(a.pendingAdopts, func(_ uint64, c *statepb.Command) bool { return c.Nonce == nonce })
}

func (a *stateActor) read(msg *readMsg) {
	a.lastReadID++
	a.pendingReads[a.lastReadID] = *msg
	a.step(raft.ReadIndex{ID: a.lastReadID})
}

// mayPropose reports whether there are commands that can be proposed now. The leader of a
// log that is still forming keeps them: what fewer voters than the target hold could be lost
// with fewer disks than are to be borne.
func (a *stateActor) mayPropose() bool {
	state := a.node.State()
	return len(a.commands) > 0 && (state.Role != raft.Leader || !state.Voters.GetForming())
}

// flush proposes the collected commands and executes the collected effects.
// Each batch is written to disk before its other effects are executed.
func (a *stateActor) flush() {
	a.flushQueued = false
	if a.mayPropose() {
		a.step(raft.Propose{Commands: a.commands})
		a.commands = nil
	}
	for len(a.effects) > 0 {
		effects := a.effects
		a.effects = nil
		err := a.persist(effects)
		var full *disk.FullError
		if errors.As(err, &full) {
			a.retryWhenDiskFull(effects, full)
			return
		}
		if a.diskFull && err == nil {
			a.diskFull = false
			a.cfg.Log.Info("disk is writable again; replica resumes")
		}
		if err != nil {
			a.failed = true
			a.cfg.Fatal(err)
			return
		}
		for _, e := range effects {
			a.execute(e)
		}
		a.compact()
	}
	a.publish()
}

// persist writes and syncs the hard state, entries and snapshots of effects.
// The other effects must not be executed before it returns.
func (a *stateActor) persist(effects []raft.Effect) error {
	var hard *statepb.HardState
	var entries []*statepb.Entry
	dirty := false
	for _, e := range effects {
		switch e := e.(type) {
		case raft.Persist:
			hard = e.Hard
			entries = append(entries, e.Entries...)
			dirty = true
		case raft.SaveSnapshot:
			if err := a.store.SaveSnapshot(e.Snapshot, e.Hard, e.Tail); err != nil {
				return err
			}
			hard, entries, dirty = nil, nil, false
		}
	}
	if !dirty {
		return nil
	}
	if err := a.store.Append(hard, entries); err != nil {
		return err
	}
	return a.store.Sync()
}

func (a *stateActor) execute(e raft.Effect) {
	switch e := e.(type) {
	case raft.Persist, raft.SaveSnapshot:
	case raft.Send:
		a.recordRoundStart(e.Message)
		a.replica.senders.send(a.peerName(e.Message.To), e.Message)
	case raft.Apply:
		a.apply(e.Entries)
	case raft.Restore:
		a.restore(e.Snapshot)
	case raft.ReadConfirmed:
		a.completeRead(e.ID, nil)
	case raft.ReadRejected:
		a.completeRead(e.ID, &NotLeaderError{Leader: a.leaderName()})
	case raft.ProposalsDropped:
		a.failProposals(e.Nonces)
	case raft.LeadershipConfirmed:
		a.confirmLeadership(e.Round)
	default:
		panic(fmt.Sprintf("replica: unhandled effect %T", e))
	}
}

// recordRoundStart records the time of the first message of a heartbeat round.
func (a *stateActor) recordRoundStart(m *statepb.Message) {
	if m.Kind != statepb.MessageKind_MESSAGE_KIND_APPEND || m.Round == 0 {
		return
	}
	if _, known := a.roundStarts[m.Round]; !known {
		a.roundStarts[m.Round] = time.Now()
	}
}

// confirmLeadership advances confirmedAt to the start of round. A single
// replica sends no heartbeats and is confirmed at once.
func (a *stateActor) confirmLeadership(round uint64) {
	if at, ok := a.roundStarts[round]; ok && at.After(a.confirmedAt) {
		a.confirmedAt = at
	}
	if len(a.cfg.Peers) == 1 {
		a.confirmedAt = time.Now()
	}
	for r := range a.roundStarts {
		if r <= round {
			delete(a.roundStarts, r)
		}
	}
}

func (a *stateActor) apply(entries []*statepb.Entry) {
	for _, e := range entries {
		if a.machine == nil {
			a.failed = true
			a.cfg.Fatal(fmt.Errorf("entry %d committed before any snapshot; move the data folder away and restart", e.Index))
			return
		}
		before := a.machine.DocumentIndex()
		result := a.machine.Apply(e.Index, e.Command)
		if after := a.machine.DocumentIndex(); after != before {
			a.recordDocument(after)
		}
		a.notifySiteDocument()
		a.notifyEvacuations()
		a.notifyEndedStarts()
		if e.Command == nil {
			continue
		}
		a.completeProposal(e.Command.Nonce, proposalResult{result: result})
	}
}

// notifySiteDocument calls Config.OnSiteDocument if the committed site document
// is newer than the last one passed to it.
func (a *stateActor) notifySiteDocument() {
	if a.machine == nil || a.cfg.OnSiteDocument == nil {
		return
	}
	d := a.machine.SiteDocument()
	if d == nil || a.notified != nil && d.GetVersion() <= a.notified.GetVersion() {
		return
	}
	a.notified = d
	a.cfg.Timeline.Add("adopt", "", fmt.Sprintf("site document %d at index %d", d.GetVersion(), d.GetIndex()))
	a.cfg.OnSiteDocument(d)
}

// notifyEvacuations calls Config.OnEvacuations if the evacuated zones have changed since
// the last call.
func (a *stateActor) notifyEvacuations() {
	if a.machine == nil || a.cfg.OnEvacuations == nil {
		return
	}
	e := a.machine.Evacuations()
	if e.Index <= a.notifiedEvacuations {
		return
	}
	a.notifiedEvacuations = e.Index
	a.cfg.Timeline.Add("evacuate", "", fmt.Sprintf("zones %v evacuated at index %d", evacuation.Zones(e), e.Index))
	a.cfg.OnEvacuations(e)
}

// notifyEndedStarts calls Config.OnEndedStarts if a start has ended since the last call.
func (a *stateActor) notifyEndedStarts() {
	if a.machine == nil || a.cfg.OnEndedStarts == nil {
		return
	}
	e := a.machine.EndedStarts()
	if e.Index <= a.notifiedEnds {
		return
	}
	a.notifiedEnds = e.Index
	a.cfg.OnEndedStarts(e)
}

// recordDocument adds the commit of a document to the timeline.
func (a *stateActor) recordDocument(index uint64) {
	a.cfg.Timeline.Add("commit", "", fmt.Sprintf("document %d", index))
}

func (a *stateActor) restore(s *statepb.Snapshot) {
	m, err := fsm.Restore(s.State)
	if err != nil {
		a.failed = true
		a.cfg.Fatal(err)
		return
	}
	a.machine = m
	a.snapshotIndex = s.Index
	a.cfg.Timeline.Add("restore", "", fmt.Sprintf("snapshot %d", s.Index))
	a.recordDocument(m.DocumentIndex())
	a.notifySiteDocument()
	a.notifyEvacuations()
	a.notifyEndedStarts()
}

// completeRead runs a pending read, or fails it with err.
func (a *stateActor) completeRead(id uint64, err error) {
	msg, ok := a.pendingReads[id]
	if !ok {
		return
	}
	delete(a.pendingReads, id)
	if err == nil {
		msg.fn(a.machine)
	}
	msg.done <- err
}

func (a *stateActor) failProposals(nonces []uint64) {
	for _, n := range nonces {
		a.completeProposal(n, proposalResult{err: &ProposalDroppedError{}})
	}
}

// compact replaces the log by a snapshot when Config.SnapshotEntries entries
// have been applied since the last one.
func (a *stateActor) compact() {
	if a.machine == nil || a.machine.Applied() < a.snapshotIndex+a.cfg.SnapshotEntries {
		return
	}
	state, err := a.machine.Snapshot()
	if err != nil {
		a.cfg.Log.Error("encode snapshot failed", zap.Error(err))
		return
	}
	a.snapshotIndex = a.machine.Applied()
	a.step(raft.Compact{Index: a.snapshotIndex, State: state})
}

// form begins the log with the given instances as voters. It does nothing if this replica
// has a log.
func (a *stateActor) form(names map[uint64]string) {
	if a.node.State().LastIndex != 0 {
		return
	}
	m, err := fsm.New(a.cfg.InitialDocument)
	if err != nil {
		a.failed = true
		a.cfg.Fatal(err)
		return
	}
	state, err := m.Snapshot()
	if err != nil {
		a.failed = true
		a.cfg.Fatal(err)
		return
	}
	voters := &statepb.Voters{Voters: slices.Sorted(maps.Keys(names)), Names: names, Forming: a.cfg.TargetVoters > 0}
	a.cfg.Timeline.Add("form", "", fmt.Sprintf("%d voters", len(names)))
	a.cfg.Log.Info("log formed", zap.Strings("voters", slices.Sorted(maps.Values(names))), zap.Int("target", a.cfg.TargetVoters))
	a.step(raft.Form{Snapshot: &statepb.Snapshot{Index: 1, Term: 1, Voters: voters, State: state}})
}

func (a *stateActor) peerName(id uint64) string {
	if name := a.node.State().Voters.GetNames()[id]; name != "" {
		return name
	}
	return a.peerNames[id]
}

func (a *stateActor) leaderName() string { return a.peerName(a.node.State().Leader) }

// publish makes the current status and document visible to other goroutines.
func (a *stateActor) publish() {
	state := a.node.State()
	status := &Status{State: state, LeaderName: a.leaderName(), Syncs: a.store.Syncs()}
	if a.machine != nil {
		status.DocumentIndex = a.machine.DocumentIndex()
		status.ClaimCount = a.machine.ClaimCount()
		status.AppliedIndex = a.machine.Applied()
		a.publishDocument(state)
	}
	a.replica.status.Store(status)
	if state.Role != a.lastRole {
		a.cfg.Timeline.Add("elect", "", fmt.Sprintf("%s in term %d", state.Role, state.Term))
		a.cfg.Log.Info("role", zap.Stringer("role", state.Role), zap.Stringer("cause", state.Cause), zap.Uint64("term", state.Term))
		a.lastRole = state.Role
	}
	if state.VotersCommitted && state.VotersIndex != a.loggedVoters {
		a.loggedVoters = state.VotersIndex
		a.logMembers(state)
	}
}

func (a *stateActor) publishDocument(state raft.State) {
	current := a.replica.document.Load()
	next := *current
	if current.Index != a.machine.DocumentIndex() {
		next.Index = a.machine.DocumentIndex()
		next.Schema = a.machine.Schema()
		next.Sections = make(map[string]*statepb.Section)
		for _, s := range a.machine.Document().Sections {
			next.Sections[s.Name] = s
		}
	}
	next.Evacuations = a.machine.Evacuations()
	next.ConfirmedAt = time.Time{}
	if state.Role == raft.Leader {
		next.ConfirmedAt = a.confirmedAt
	}
	a.replica.document.Store(&next)
}

func (a *stateActor) stop() {
	for n := range a.pendingProposals {
		a.completeProposal(n, proposalResult{err: &ProposalDroppedError{}})
	}
	for id := range a.pendingReads {
		a.completeRead(id, &NotLeaderError{})
	}
	if err := a.store.Close(); err != nil {
		a.cfg.Log.Warn("close data folder failed", zap.Error(err))
	}
}
