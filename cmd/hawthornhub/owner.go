package main

import (
	"fmt"
	"strconv"
	"strings"

	"hawthornhub.example/hawthornhub/internal/fleet/process"
	"hawthornhub.example/hawthornhub/internal/serve/once"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// claimOwner returns the owner that a process records in its claims,
// NAME/INCARNATION.
func claimOwner(name string, incarnation uint64) string {
	return fmt.Sprintf("%s/%d", name, incarnation)
}

// ownerAliveFunc returns a function that reports whether the owner of a claim is
// still running in the same incarnation.
func ownerAliveFunc(p *process.Process) func(string) bool {
	return func(owner string) bool {
		name, suffix, _ := strings.Cut(owner, "/")
		incarnation, err := strconv.ParseUint(suffix, 10, 64)
		if err != nil {
			return false
		}
		for _, m := range p.Members() {
			if m.Name == name {
				return m.Incarnation == incarnation && m.State != fleetpb.MemberState_MEMBER_STATE_DEAD
			}
		}
		return false
	}
}

// findAgentFunc returns a function that looks up the last known link address,
// incarnation and state of an agent.
func findAgentFunc(p *process.Process) func(string) (once.AgentStatus, bool) {
	return func(name string) (once.AgentStatus, bool) {
		m, ok := p.FindMember(name)
		if !ok {
			return once.AgentStatus{}, false
		}
		return once.AgentStatus{
			Link:        m.Link,
			Incarnation: m.Incarnation,
			Dead:        m.State == fleetpb.MemberState_MEMBER_STATE_DEAD,
		}, true
	}
}
