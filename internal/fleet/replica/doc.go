// Package replica runs one replica of the replicated state: the Raft log, its
// storage, the state machine, and the messages to the other replicas.
//
// A single actor owns all of them. It steps the Raft node with each message in
// its mailbox and executes the effects of everything that has arrived as one
// batch: one log record and one sync to disk, then the messages and the committed
// commands. The more callers wait, the more commands share a sync.
//
// Instances with empty data folders bootstrap a new fleet only when every
// instance named in the settings has answered that its folder is empty too. An
// instance that loses its folder later rejoins as a learner with a new disk
// identity.
//
// # Usage
//
//	r, err := replica.Start(replica.Config{Name: "c1", DataDir: dir, Peers: peers, Pool: pool, System: system})
//	result, err := r.Propose(ctx, command)
//	err = r.Read(ctx, func(m *fsm.Machine) { ... })
package replica
