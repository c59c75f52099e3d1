package site

import (
	"slices"
	"testing"
)

// Requests are ordered by the account's priority first and by the route's among
// those that are equal.
func TestRankOrder(t *testing.T) {
	high, normal := 0, 1
	want := []Rank{
		RankOf(&high, 2),
		RankOf(&normal, 0),
		RankOf(nil, 1),
		RankOf(&normal, 2),
		RankOf(nil, 2),
	}
	if got := slices.Sorted(slices.Values(want)); !slices.Equal(got, want) {
		t.Errorf("got order %v, want %v", got, want)
	}
	if got := RankOf(&normal, 40); got.AccountPriority() != 1 || got.RoutePriority() != 9 {
		t.Errorf("a route priority of 40 has account priority %d and route priority %d, want 1 and 9", got.AccountPriority(), got.RoutePriority())
	}
	if got := RankOf(nil, -3); got != 0 {
		t.Errorf("a negative priority has rank %d, want 0", got)
	}
}
