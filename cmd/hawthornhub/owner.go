package main

import (
	"fmt"
	"strconv"
	"strings"

	"hawthornhub.example/hawthornhub/internal/fleet/process"
	"hawthornhub.example/hawthornhub/internal/serve/once"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// ownerOf names a process and its incarnation, as claims record it.
func ownerOf(name string, incarnation uint64) string { return fmt.Sprintf("%s/%d", name, incarnation) }

// ownerAlive reports whether the owner of a claim still runs.
func ownerAlive(p *process.Process) func(string) bool {
	return func(owner string) bool {
		name, text, _ := strings.Cut(owner, "/")
		incarnation, err := strconv.ParseUint(text, 10, 64)
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

// placeOf returns where an agent was last known to be.
func placeOf(p *process.Process) func(string) (once.AgentStatus, bool) {
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
