package fence

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// Remembered is the number of orders that are kept.
const Remembered = 1024

// Register is the replicated list of orders.
type Register struct{ orders []*statepb.OrderState }

// Restore returns the Register that a snapshot holds.
func Restore(orders []*statepb.OrderState) *Register { return &Register{orders: orders} }

// Issue gives an order its number. The same order id gets its number again.
func (r *Register) Issue(index uint64, nowMs int64, o *statepb.Order) uint64 {
	for _, have := range r.orders {
		if have.Order.Id == o.Id {
			return have.Number
		}
	}
	r.orders = append(r.orders, &statepb.OrderState{
		Order:  proto.Clone(o).(*statepb.Order),
		Number: index,
		AtMs:   nowMs,
	})
	if len(r.orders) > Remembered {
		r.orders = slices.Clone(r.orders[1:])
	}
	return index
}

// All returns the remembered orders, oldest first.
func (r *Register) All() []*statepb.OrderState { return r.orders }

// Newest returns the highest number issued for an upstream.
func Newest(orders []*statepb.OrderState, upstream string) uint64 {
	n := uint64(0)
	for _, o := range orders {
		if o.Order.Upstream == upstream {
			n = max(n, o.Number)
		}
	}
	return n
}

// StaleError refuses an order with a number that is not above the last.
type StaleError struct{ Number, Last uint64 }

// Error names the remedy.
func (e *StaleError) Error() string {
	return fmt.Sprintf("order %d is not above %d; ask the leader for a new order", e.Number, e.Last)
}

// UnreadyError refuses orders until the present number is known.
type UnreadyError struct{}

// Error names the remedy.
func (e *UnreadyError) Error() string {
	return "the present order number is not confirmed since the start; try again when a quorum answers"
}

// Gate is the order check before one engine. The zero Gate refuses all.
type Gate struct {
	last  uint64
	ready bool
}

// WithFloor returns the Gate with a confirmed present number.
func (g Gate) WithFloor(number uint64) Gate {
	return Gate{last: max(g.last, number), ready: true}
}

// Ready reports whether the Gate knows the present number.
func (g Gate) Ready() bool { return g.ready }

// Pass returns the Gate after an order, or why the order is refused.
func (g Gate) Pass(number uint64) (Gate, error) {
	if !g.ready {
		return g, &UnreadyError{}
	}
	if number <= g.last {
		return g, &StaleError{Number: number, Last: g.last}
	}
	return Gate{last: number, ready: true}, nil
}
