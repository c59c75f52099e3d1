package replica

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// Formation says how an instance with an empty data folder may begin a log: FormAtFirstStart,
// FormWhenAllEmpty or JoinOnly.
type Formation interface{ isFormation() }

// FormAtFirstStart is for an instance that knows, from outside, that the whole fleet starts for
// the first time, and that has been given the same peers as all others. Each peer with a disk
// forms the same log by itself, with all of them as voters: their identities follow from their
// names. So the log has a leader as soon as a majority of them runs. Such an instance must not
// be started again with an empty folder and this value, as it has promised things under its
// identity.
type FormAtFirstStart struct{}

// FormWhenAllEmpty is for an instance that may have lost its folder. The peer with the lowest
// name forms the log once all of them have replied that their folders are empty.
type FormWhenAllEmpty struct{}

// JoinOnly is for an instance that waits until it is added to an existing log.
type JoinOnly struct{}

func (FormAtFirstStart) isFormation() {}
func (FormWhenAllEmpty) isFormation() {}
func (JoinOnly) isFormation()         {}

// relayWait is how long after its start an instance waits at a first start for peers that do
// not reply. One without a disk must not become a voter, and only its reply tells.
const relayWait = time.Second

// peerKind is what a peer's reply says of its log.
type peerKind int

const (
	// silentPeer has not replied.
	silentPeer peerKind = iota
	// relayPeer has no disk.
	relayPeer
	// emptyPeer has a disk and no log.
	emptyPeer
	// formedPeer has a log, or is not the instance that was asked.
	formedPeer
)

// peerState is what is known of a peer.
type peerState struct {
	name     string
	kind     peerKind
	identity uint64
}

// peerStateOf reads the reply of a peer, nil if there was none. Relays reply with identity 0.
func peerStateOf(name string, reply *fleetpb.HelloReply) peerState {
	switch {
	case reply == nil:
		return peerState{name: name, kind: silentPeer}
	case reply.Name != name || !reply.Empty && reply.Identity != 0:
		return peerState{name: name, kind: formedPeer}
	case reply.Identity == 0:
		return peerState{name: name, kind: relayPeer}
	}
	return peerState{name: name, kind: emptyPeer, identity: reply.Identity}
}

// firstVoters returns the names of the voters of a new log by their identities, nil if this
// instance does not form one now.
func (r *Replica) firstVoters(s Status, peers []peerState) map[uint64]string {
	switch f := r.cfg.Formation.(type) {
	case FormAtFirstStart:
		return r.votersAtFirstStart(peers)
	case nil, FormWhenAllEmpty:
		return r.votersWhenAllEmpty(s, peers)
	case JoinOnly:
		return nil
	default:
		panic(fmt.Sprintf("replica: unhandled formation %T", f))
	}
}

// votersAtFirstStart returns all peers that may have a disk. A peer that has a log already is
// one of the same voters, and this instance gets the log from their leader.
func (r *Replica) votersAtFirstStart(peers []peerState) map[uint64]string {
	waited := time.Since(r.started) >= relayWait
	names := make(map[uint64]string)
	for _, p := range peers {
		switch p.kind {
		case formedPeer:
			return nil
		case relayPeer:
			continue
		case silentPeer:
			if !waited {
				return nil
			}
		case emptyPeer:
		}
		names[firstIdentity(p.name)] = p.name
	}
	if names[firstIdentity(r.cfg.Name)] == "" {
		return nil
	}
	return names
}

// votersWhenAllEmpty returns the peers with a disk if all of them have replied that they are
// empty and this instance has the lowest name.
func (r *Replica) votersWhenAllEmpty(s Status, peers []peerState) map[uint64]string {
	names := map[uint64]string{s.ID: r.cfg.Name}
	for _, p := range peers {
		switch p.kind {
		case silentPeer, formedPeer:
			return nil
		case relayPeer:
			continue
		case emptyPeer:
		}
		if p.name < r.cfg.Name {
			return nil
		}
		names[p.identity] = p.name
	}
	return names
}

// firstIdentity returns the disk identity of a peer at the first start. It is never zero.
func firstIdentity(name string) uint64 {
	sum := sha256.Sum256([]byte(name))
	return binary.LittleEndian.Uint64(sum[:8]) | 1
}

// newIdentity returns the identity for an empty folder.
func (cfg Config) newIdentity() uint64 {
	_, first := cfg.Formation.(FormAtFirstStart)
	if first && cfg.isPeer(cfg.Name) {
		return firstIdentity(cfg.Name)
	}
	return NewIdentity()
}
