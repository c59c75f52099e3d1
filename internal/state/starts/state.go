package starts

import (
	"fmt"
	"slices"
	"unicode/utf8"

	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

const (
	// MaxUpstreams is the number of upstreams whose ends are kept. Hundreds may end in a
	// minute, and records are kept for a few; the limit bounds the state against made-up
	// IDs.
	MaxUpstreams = 8192
	// MaxIDBytes is the maximum length of the ID of an upstream.
	MaxIDBytes = 512
	// initialIndex is the log index of the first snapshot, at which no start has ended.
	initialIndex = 1
)

// State holds the ended starts of all upstreams. It is part of the replicated state and not
// safe for concurrent use.
type State struct {
	// current is replaced and never modified, so that it can be shared.
	current *statepb.EndedStarts
}

// Restore returns the State of a snapshot. nil stands for no ended starts.
func Restore(e *statepb.EndedStarts) *State {
	if e.GetIndex() == 0 {
		e = &statepb.EndedStarts{Index: initialIndex}
	}
	return &State{current: e}
}

// Proto returns the present state, which must not be modified.
func (s *State) Proto() *statepb.EndedStarts { return s.current }

// Apply applies the command that was committed at a log index. A command whose starts are
// known to have ended changes nothing and succeeds, so that it may be repeated. The result
// has the index of the upstream's record.
func (s *State) Apply(index uint64, c *statepb.EndStart) *statepb.Result {
	s.forget(index, c.Forget)
	if c.Upstream == "" {
		return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_OK, Index: s.current.Index}
	}
	if len(c.Upstream) > MaxIDBytes || !utf8.ValidString(c.Upstream) || c.BornMs < 0 {
		return refused("the ID or the start of the upstream cannot be recorded", "correct it")
	}
	i := slices.IndexFunc(s.current.Upstreams, func(u *statepb.UpstreamEnds) bool { return u.Upstream == c.Upstream })
	var known Ended
	if i >= 0 {
		known = FromProto(s.current.Upstreams[i])
	}
	ended := ofCommand(known, c)
	switch {
	case slices.ContainsFunc(c.ReplacedMs, func(b int64) bool { return !ended.Has(b) }):
		return refused(fmt.Sprintf("upstream %s has replaced %d starts whose clocks were ahead", c.Upstream, MaxReplaced), "wait until they are forgotten")
	case i >= 0 && ended == known:
		return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_OK, Index: s.current.Upstreams[i].Index}
	case i < 0 && len(s.current.Upstreams) >= MaxUpstreams:
		return refused(fmt.Sprintf("%d upstreams have ended within minutes, which is the limit", MaxUpstreams), "wait until they are forgotten")
	}
	s.record(index, c.Upstream, i, ended)
	return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_OK, Index: index}
}

func refused(detail, remedy string) *statepb.Result {
	return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_REFUSED, Detail: detail, Remedy: remedy}
}

// record replaces the record at position i, or adds one if i is negative.
func (s *State) record(index uint64, id string, i int, ended Ended) {
	next := &statepb.EndedStarts{Index: index, Upstreams: slices.Clone(s.current.Upstreams)}
	if i >= 0 {
		next.Upstreams = slices.Delete(next.Upstreams, i, i+1)
	}
	next.Upstreams = append(next.Upstreams, &statepb.UpstreamEnds{Upstream: id, Index: index, BeforeMs: ended.beforeMs, ReplacedMs: ended.ReplacedMs()})
	s.current = next
}

// forget removes the records up to a log index, by the command at another one.
func (s *State) forget(index, through uint64) {
	n := 0
	for n < len(s.current.Upstreams) && s.current.Upstreams[n].Index <= through {
		n++
	}
	if n > 0 {
		s.current = &statepb.EndedStarts{Index: index, Upstreams: s.current.Upstreams[n:]}
	}
}
