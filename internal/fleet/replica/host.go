package replica

import (
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/state/disk"
	"hawthornhub.example/hawthornhub/internal/state/fsm"
	"hawthornhub.example/hawthornhub/internal/state/raft"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

type answer struct {
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
		done    chan<- answer
	}
	readMsg struct {
		fn   func(*fsm.Machine)
		done chan<- error
	}
	inspectMsg struct {
		fn   func(*fsm.Machine)
		done chan<- error
	}
	formMsg  struct{ names map[uint64]string }
	flushMsg struct{}
)

// host is the actor that owns the log, the disk and the machine.
type host struct {
	cfg       Config
	replica   *Replica
	self      *actor.PID
	store     *disk.Store
	node      *raft.Node
	machine   *fsm.Machine
	effects   []raft.Effect
	commands  []*statepb.Command
	flushing  bool
	pending   map[uint64]chan<- answer
	reads     map[uint64]readMsg
	nextRead  uint64
	rounds    map[uint64]time.Time
	confirmed time.Time
	compacted uint64
	// adopted is the version of the site document that was last told.
	adopted uint64
	wasRole raft.Role
	// names are the instances behind the identities that sent messages. A
	// replica without a log knows its peers only by them.
	names  map[uint64]string
	broken bool
	// stalled is set while the disk is full: the effects wait, and nothing
	// else is taken.
	stalled bool
}

// fullRetry is the time between tries to write to a full disk.
const fullRetry = 100 * time.Millisecond

// Receive takes one message of the mailbox.
func (h *host) Receive(ctx actor.Context) {
	if h.broken {
		return
	}
	if h.stalled && !h.duringStall(ctx.Message()) {
		return
	}
	switch msg := ctx.Message().(type) {
	case *inputMsg:
		h.step(msg.in)
	case *receiveMsg:
		h.names[msg.message.From] = msg.from
		h.step(raft.Receive{Message: msg.message})
	case *proposeMsg:
		h.propose(msg)
	case *readMsg:
		h.read(msg)
	case *inspectMsg:
		msg.fn(h.machine)
		msg.done <- nil
	case *formMsg:
		h.form(msg.names)
	case *flushMsg:
		h.flush()
	case *actor.Stopped:
		h.stop()
	}
	if len(h.effects)+len(h.commands) > 0 && !h.flushing {
		h.flushing = true
		ctx.Send(ctx.Self(), &flushMsg{})
	}
}

// duringStall answers what cannot be done while the disk is full and reports
// whether a message is still to be taken. The instance is to the others as if
// it were frozen.
func (h *host) duringStall(msg any) bool {
	switch msg := msg.(type) {
	case *proposeMsg:
		msg.done <- answer{err: &StalledError{}}
	case *readMsg:
		msg.done <- &StalledError{}
	case *inspectMsg, *flushMsg, *actor.Stopped:
		return true
	}
	return false
}

// stall keeps effects until the disk has room again.
func (h *host) stall(effects []raft.Effect, full error) {
	if !h.stalled {
		h.cfg.Log.Error("disk full, the instance waits", zap.Error(full))
	}
	h.stalled = true
	h.effects = append(effects, h.effects...)
	h.flushing = true
	time.AfterFunc(fullRetry, func() { h.replica.tell(&flushMsg{}) })
}

func (h *host) step(in raft.Input) {
	h.effects = append(h.effects, h.node.Step(in)...)
}

func (h *host) propose(msg *proposeMsg) {
	if h.node.State().Role != raft.Leader {
		msg.done <- answer{err: &NotLeaderError{Leader: h.leaderName()}}
		return
	}
	msg.command.Nonce = mrand.Uint64()
	msg.command.NowMs = time.Now().UnixMilli()
	h.pending[msg.command.Nonce] = msg.done
	h.commands = append(h.commands, msg.command)
}

func (h *host) read(msg *readMsg) {
	h.nextRead++
	h.reads[h.nextRead] = *msg
	h.step(raft.ReadIndex{ID: h.nextRead})
}

// flush carries out what has gathered: the disk first, then all the rest.
func (h *host) flush() {
	h.flushing = false
	if len(h.commands) > 0 {
		h.step(raft.Propose{Commands: h.commands})
		h.commands = nil
	}
	for len(h.effects) > 0 {
		effects := h.effects
		h.effects = nil
		err := h.write(effects)
		var full *disk.FullError
		if errors.As(err, &full) {
			h.stall(effects, full)
			return
		}
		if h.stalled && err == nil {
			h.stalled = false
			h.cfg.Log.Info("disk has room again")
		}
		if err != nil {
			h.broken = true
			h.cfg.Fatal(err)
			return
		}
		for _, e := range effects {
			h.carry(e)
		}
		h.compact()
	}
	h.publish()
}

// write makes everything lasting that the other effects depend on.
func (h *host) write(effects []raft.Effect) error {
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
			if err := h.store.SaveSnapshot(e.Snapshot, e.Hard, e.Tail); err != nil {
				return err
			}
			hard, entries, dirty = nil, nil, false
		}
	}
	if !dirty {
		return nil
	}
	if err := h.store.Append(hard, entries); err != nil {
		return err
	}
	return h.store.Sync()
}

func (h *host) carry(e raft.Effect) {
	switch e := e.(type) {
	case raft.Persist, raft.SaveSnapshot:
	case raft.Send:
		h.markRound(e.Message)
		h.replica.send.to(h.nameOf(e.Message.To), e.Message)
	case raft.Apply:
		h.apply(e.Entries)
	case raft.Restore:
		h.restore(e.Snapshot)
	case raft.ReadConfirmed:
		h.answerRead(e.ID, nil)
	case raft.ReadRejected:
		h.answerRead(e.ID, &NotLeaderError{Leader: h.leaderName()})
	case raft.ProposalsDropped:
		h.drop(e.Nonces)
	case raft.LeadershipConfirmed:
		h.confirm(e.Round)
	default:
		panic(fmt.Sprintf("replica: unhandled effect %T", e))
	}
}

// markRound remembers when a heartbeat round began.
func (h *host) markRound(m *statepb.Message) {
	if m.Kind != statepb.MessageKind_MESSAGE_KIND_APPEND || m.Round == 0 {
		return
	}
	if _, known := h.rounds[m.Round]; !known {
		h.rounds[m.Round] = time.Now()
	}
}

func (h *host) confirm(round uint64) {
	if at, ok := h.rounds[round]; ok && at.After(h.confirmed) {
		h.confirmed = at
	}
	if len(h.cfg.Peers) == 1 {
		h.confirmed = time.Now()
	}
	for r := range h.rounds {
		if r <= round {
			delete(h.rounds, r)
		}
	}
}

func (h *host) apply(entries []*statepb.Entry) {
	for _, e := range entries {
		if h.machine == nil {
			h.broken = true
			h.cfg.Fatal(fmt.Errorf("entry %d before any snapshot; set the data folder aside and start again", e.Index))
			return
		}
		before := h.machine.DocumentIndex()
		result := h.machine.Apply(e.Index, e.Command)
		if after := h.machine.DocumentIndex(); after != before {
			h.documentChanged(after)
		}
		h.tellAdopted()
		if e.Command == nil {
			continue
		}
		if done := h.pending[e.Command.Nonce]; done != nil {
			delete(h.pending, e.Command.Nonce)
			done <- answer{result: result}
		}
	}
}

// tellAdopted tells of a site document that has not been told yet.
func (h *host) tellAdopted() {
	if h.machine == nil || h.cfg.Adopted == nil {
		return
	}
	a := h.machine.SiteDocument()
	if a.GetVersion() <= h.adopted {
		return
	}
	h.adopted = a.GetVersion()
	h.cfg.Timeline.Add("adopt", "", fmt.Sprintf("site document %d at index %d", a.GetVersion(), a.GetIndex()))
	h.cfg.Adopted(a)
}

func (h *host) documentChanged(index uint64) {
	h.cfg.Timeline.Add("commit", "", fmt.Sprintf("document %d", index))
}

func (h *host) restore(s *statepb.Snapshot) {
	m, err := fsm.Restore(s.State)
	if err != nil {
		h.broken = true
		h.cfg.Fatal(err)
		return
	}
	h.machine = m
	h.compacted = s.Index
	h.cfg.Timeline.Add("restore", "", fmt.Sprintf("snapshot %d", s.Index))
	h.documentChanged(m.DocumentIndex())
	h.tellAdopted()
}

func (h *host) answerRead(id uint64, err error) {
	msg, ok := h.reads[id]
	if !ok {
		return
	}
	delete(h.reads, id)
	if err == nil {
		msg.fn(h.machine)
	}
	msg.done <- err
}

func (h *host) drop(nonces []uint64) {
	for _, n := range nonces {
		if done := h.pending[n]; done != nil {
			delete(h.pending, n)
			done <- answer{err: &DroppedError{}}
		}
	}
}

// compact replaces the log by a snapshot once it has grown enough.
func (h *host) compact() {
	if h.machine == nil || h.machine.Applied() < h.compacted+h.cfg.SnapshotEntries {
		return
	}
	state, err := h.machine.Snapshot()
	if err != nil {
		h.cfg.Log.Error("encode snapshot", zap.Error(err))
		return
	}
	h.compacted = h.machine.Applied()
	h.step(raft.Compact{Index: h.compacted, State: state})
}

// form writes the first snapshot, which names the voters.
func (h *host) form(names map[uint64]string) {
	if h.node.State().LastIndex != 0 || h.machine != nil {
		return
	}
	m, err := fsm.New(h.cfg.Document)
	if err != nil {
		h.broken = true
		h.cfg.Fatal(err)
		return
	}
	state, err := m.Snapshot()
	if err != nil {
		h.broken = true
		h.cfg.Fatal(err)
		return
	}
	voters := &statepb.Voters{Names: names}
	for id := range names {
		voters.Voters = append(voters.Voters, id)
	}
	snap := &statepb.Snapshot{Index: 1, Term: 1, Voters: voters, State: state}
	hard := &statepb.HardState{Term: 1}
	if err := h.store.SaveSnapshot(snap, hard, nil); err != nil {
		h.broken = true
		h.cfg.Fatal(err)
		return
	}
	h.machine = m
	h.compacted = 1
	h.node = raft.New(nodeConfig(h.cfg, h.store.Identity()), raft.InitialState{Hard: hard, Snapshot: snap})
	h.effects = nil
	h.cfg.Timeline.Add("form", "", fmt.Sprintf("%d voters", len(names)))
	h.publish()
}

func (h *host) nameOf(id uint64) string {
	if name := h.node.State().Voters.GetNames()[id]; name != "" {
		return name
	}
	return h.names[id]
}

func (h *host) leaderName() string { return h.nameOf(h.node.State().Leader) }

// publish makes the view and the document visible to other goroutines.
func (h *host) publish() {
	state := h.node.State()
	view := &View{State: state, LeaderName: h.leaderName(), Syncs: h.store.Syncs()}
	if h.machine != nil {
		view.Document = h.machine.DocumentIndex()
		view.Claims = h.machine.ClaimCount()
		view.Applied = h.machine.Applied()
		h.publishDocument(state)
	}
	h.replica.view.Store(view)
	if state.Role != h.wasRole {
		h.cfg.Timeline.Add("elect", "", fmt.Sprintf("%s in term %d", state.Role, state.Term))
		h.cfg.Log.Info("role", zap.Stringer("role", state.Role), zap.Uint64("term", state.Term))
		h.wasRole = state.Role
	}
}

func (h *host) publishDocument(state raft.State) {
	held := h.replica.held.Load()
	next := *held
	if held.Index != h.machine.DocumentIndex() {
		next.Index = h.machine.DocumentIndex()
		next.Schema = h.machine.Schema()
		next.Sections = make(map[string]*statepb.Section)
		for _, s := range h.machine.Document().Sections {
			next.Sections[s.Name] = s
		}
	}
	next.Confirmed = time.Time{}
	if state.Role == raft.Leader {
		next.Confirmed = h.confirmed
	}
	h.replica.held.Store(&next)
}

func (h *host) stop() {
	for n, done := range h.pending {
		delete(h.pending, n)
		done <- answer{err: &DroppedError{}}
	}
	for id := range h.reads {
		h.answerRead(id, &NotLeaderError{})
	}
	if err := h.store.Close(); err != nil {
		h.cfg.Log.Warn("close data folder", zap.Error(err))
	}
}
