// Package replica runs one replica of the replicated state: the Raft log, its
// storage, the state machine, and the messages to the other replicas.
//
// A single actor owns all of them. It steps the Raft node with each message in
// its mailbox and executes the effects of everything that has arrived as one
// batch: one log record and one sync to disk, then the messages and the committed
// commands. The more callers wait, the more commands share a sync.
//
// How a log begins is a matter of Config.Formation. Where an instance is told that
// the whole fleet starts for the first time, each peer with a disk forms the same log
// by itself, and any majority of them elects a leader. Where it is not, the peers form
// one only when all of them have answered that their folders are empty. An instance
// that loses its folder later rejoins as a learner with a new disk identity.
//
// The leader of a new log keeps commands back until as many voters hold the log as it
// is to have, so that what is acknowledged bears the loss of as many disks as is
// asked for. Whoever has not come after formingTicks is lost, and not waited for.
//
// # Usage
//
//	r, err := replica.Start(replica.Config{Name: "c1", DataDir: dir, Peers: peers, Pool: pool, System: system})
//	result, err := r.Propose(ctx, command)
//	err = r.Read(ctx, func(m *fsm.Machine) { ... })
package replica
