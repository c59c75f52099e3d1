package fence

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// MaxOrders is the number of most recent orders that an Issuer keeps.
const MaxOrders = 1024

// Issuer numbers orders and keeps the most recent ones. It is part of the
// replicated state and not safe for concurrent use.
type Issuer struct{ orders []*statepb.OrderState }

// Restore returns an Issuer with the orders of a snapshot.
func Restore(orders []*statepb.OrderState) *Issuer { return &Issuer{orders: orders} }

// Issue returns the number of an order, which is the log index at which it was
// committed. It is idempotent: an order id that is still kept gets the same
// number again.
func (i *Issuer) Issue(index uint64, nowMs int64, o *statepb.Order) uint64 {
	for _, issued := range i.orders {
		if issued.Order.Id == o.Id {
			return issued.Number
		}
	}
	i.orders = append(i.orders, &statepb.OrderState{
		Order:  proto.Clone(o).(*statepb.Order),
		Number: index,
		AtMs:   nowMs,
	})
	if len(i.orders) > MaxOrders {
		i.orders = slices.Clone(i.orders[1:])
	}
	return index
}

// All returns the kept orders, oldest first.
func (i *Issuer) All() []*statepb.OrderState { return i.orders }

// StaleError rejects an order whose number is not higher than the last accepted
// one.
type StaleError struct{ Number, Last uint64 }

// Error returns the reason together with a remedy.
func (e *StaleError) Error() string {
	return fmt.Sprintf("order %d is not above %d; ask the leader for a new order", e.Number, e.Last)
}

// NotReadyError rejects orders until the highest issued number is confirmed.
type NotReadyError struct{}

// Error returns the reason together with a remedy.
func (e *NotReadyError) Error() string {
	return "the present order number is not confirmed since the start; try again when a quorum answers"
}

// Checker checks the order numbers for one upstream. The zero Checker rejects
// every order.
type Checker struct {
	// last is the highest number accepted or confirmed as issued.
	last  uint64
	ready bool
}

// WithFloor returns a Checker that is ready and accepts only numbers above a
// confirmed highest issued number.
func (c Checker) WithFloor(number uint64) Checker {
	return Checker{last: max(c.last, number), ready: true}
}

// Accept returns the Checker to use after an order is accepted, or an error that
// says why the order is rejected.
func (c Checker) Accept(number uint64) (Checker, error) {
	if !c.ready {
		return c, &NotReadyError{}
	}
	if number <= c.last {
		return c, &StaleError{Number: number, Last: c.last}
	}
	return Checker{last: number, ready: true}, nil
}
