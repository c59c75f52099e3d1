package site

// rankStep is the number of route priorities that are told apart; less urgent
// ones count as the last of them.
const rankStep = 10

// Rank orders requests, the lowest first: by the priority of the account, where
// it has one, else by the route's; those that are equal by the route's.
type Rank int

// RankOf returns the rank of a request on a route; account is nil for an
// account without a priority.
func RankOf(account *int, route int) Rank {
	level := route
	if account != nil {
		level = *account
	}
	return Rank(bounded(level)*rankStep + bounded(route))
}

func bounded(priority int) int { return min(max(0, priority), rankStep-1) }

// Level is the first part of the rank, 0 to 9.
func (r Rank) Level() int { return int(r) / rankStep }

// Route is the route's part of the rank, 0 to 9.
func (r Rank) Route() int { return int(r) % rankStep }
