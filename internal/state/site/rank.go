package site

// priorityLevels is the number of distinct priorities, from 0, the most urgent,
// to 9. Priorities outside this range count as the nearest one in it.
const priorityLevels = 10

// Rank is the sort key of a request by priority, the most urgent first. Requests
// are ordered by the priority of the account, or by the route's if the account
// has none, and then by the priority of the route.
type Rank int

// RankOf returns the rank of a request from the priorities of its account and
// its route. accountPriority is nil if the account has no priority.
func RankOf(accountPriority *int, routePriority int) Rank {
	primary := routePriority
	if accountPriority != nil {
		primary = *accountPriority
	}
	return Rank(clampPriority(primary)*priorityLevels + clampPriority(routePriority))
}

func clampPriority(priority int) int { return min(max(0, priority), priorityLevels-1) }

// AccountPriority returns the account's priority from 0 to 9, or the route's if
// the account has none.
func (r Rank) AccountPriority() int { return int(r) / priorityLevels }

// RoutePriority returns the route's priority from 0 to 9.
func (r Rank) RoutePriority() int { return int(r) % priorityLevels }
