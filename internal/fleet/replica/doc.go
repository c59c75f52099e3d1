// Package replica hosts one replica of the replicated state: the log, its
// disk, the machine, and the messages to the other replicas.
//
// One actor owns them all. It steps the log with each message of its mailbox
// and carries out the effects of all that had arrived together: one record,
// one sync, then the messages and the committed commands. The more callers
// wait, the more commands share a sync.
//
// Instances with empty folders form the fleet only when every instance that
// the settings name has answered that its folder is empty too. An instance
// that lost its folder later joins as a learner under its new disk identity.
//
// # Usage
//
//	r, err := replica.Start(replica.Config{Name: "c1", DataDir: dir, Peers: peers, Pool: pool, System: system})
//	result, err := r.Propose(ctx, command)
//	err = r.Read(ctx, func(m *fsm.Machine) { ... })
package replica
