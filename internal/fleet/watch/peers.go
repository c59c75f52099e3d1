package watch

import (
	"slices"
	"time"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// setPeer lists a process, or removes it from the list if p is nil. The caller holds
// mu.
func (h *Hub) setPeer(name string, p *fleetpb.Peer) {
	if p == nil {
		delete(h.peers, name)
		h.departed[name] = time.Now()
	} else {
		h.peers[name] = p
		delete(h.departed, name)
	}
	h.publish(key{kind: peerChange, id: name})
}

// listVoters lists the voters that are not connected, and removes former ones. The
// caller holds mu.
func (h *Hub) listVoters(voters []string) {
	for _, address := range voters {
		if h.peers[address] == nil {
			h.setPeer(address, &fleetpb.Peer{Name: address, Role: RoleControl, Link: address})
		}
	}
	for name, p := range h.peers {
		if p.GetIncarnation() == 0 && !slices.Contains(voters, name) && !h.watches(name) && name != h.cfg.Self().GetName() {
			h.setPeer(name, nil)
		}
	}
}

// watches reports whether a process is a watcher. The caller holds mu.
func (h *Hub) watches(name string) bool {
	for w := range h.watchers {
		if w.peer.GetName() == name {
			return true
		}
	}
	return false
}

// departedRetention is how long the hub can tell a watcher that returns that a
// process is gone; later it sends such a watcher the complete state.
const departedRetention = time.Minute

// forgetDeparted forgets processes that have been gone for long. The caller holds mu.
func (h *Hub) forgetDeparted(now time.Time) {
	for name, at := range h.departed {
		if now.Sub(at) > departedRetention {
			h.changes.forget(key{kind: peerChange, id: name})
			delete(h.departed, name)
		}
	}
}
