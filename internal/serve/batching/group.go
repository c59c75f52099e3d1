package batching

import (
	"time"

	"hawthornhub.example/hawthornhub/internal/state/site"
)

// Group is the pieces of one stage of one request.
type Group struct {
	Request string
	Service string
	Stage   int
	// Key is set for stages without inputs.
	Key    string
	Inputs []string
	// Arrived is when the group was pushed.
	Arrived time.Time
	// Deadline is when the caller gives up, Objective when the answer is late.
	Deadline, Objective time.Time
	// Rest is the expected time of what follows the stage.
	Rest time.Duration
	Rank site.Rank
	Zone string
	// ResultBytes is the size of the result of a piece.
	ResultBytes int64
	// InputBytes is the size of all inputs together.
	InputBytes int64

	handles []string
	todo    []int
	made    int
	calls   int
}

// NewGroup returns a Group of n pieces, of which none is made.
func NewGroup(g Group, n int) *Group {
	g.handles = make([]string, n)
	g.todo = make([]int, n)
	for i := range g.todo {
		g.todo[i] = i
	}
	return &g
}

// Pieces returns the number of pieces.
func (g *Group) Pieces() int { return len(g.handles) }

// Handles returns the results in the order of the pieces.
func (g *Group) Handles() []string { return g.handles }

// Made returns the results that exist, in the order of the pieces.
func (g *Group) Made() []string {
	var out []string
	for _, h := range g.handles {
		if h != "" {
			out = append(out, h)
		}
	}
	return out
}

// Dispatched reports whether all pieces are made or handed out.
func (g *Group) Dispatched() bool { return len(g.todo) == 0 }

// Calls returns the number of times that pieces of the group were handed out.
func (g *Group) Calls() int { return g.calls }

// Piece is one piece of a group.
type Piece struct {
	Group *Group
	Index int
}
