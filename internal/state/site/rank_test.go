package site

import (
	"slices"
	"testing"
)

// The account's priority goes first; the route's decides among equals.
func TestRankOrder(t *testing.T) {
	urgent, usual := 0, 1
	want := []Rank{
		RankOf(&urgent, 2),
		RankOf(&usual, 0),
		RankOf(nil, 1),
		RankOf(&usual, 2),
		RankOf(nil, 2),
	}
	if got := slices.Sorted(slices.Values(want)); !slices.Equal(got, want) {
		t.Errorf("got order %v, want %v", got, want)
	}
	if got := RankOf(&usual, 40); got.Level() != 1 || got.Route() != 9 {
		t.Errorf("a route priority of 40 has level %d and route %d, want 1 and 9", got.Level(), got.Route())
	}
	if got := RankOf(nil, -3); got != 0 {
		t.Errorf("a negative priority has rank %d, want 0", got)
	}
}
