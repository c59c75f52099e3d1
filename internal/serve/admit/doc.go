// Package admit decides whether a request is taken.
//
// A Book counts, for each pool of upstreams, the service time of the stages
// that admitted requests have still ahead of them, including later stages that
// have not been dispatched. The expected wait at a pool is that work over its
// slots. A request is refused at once where its expected end lies past its
// deadline; where waits grow long, an account may not hold more than its
// weighted share of the work.
//
// # Usage
//
//	b := admit.NewBook()
//	if err := b.Admit(request, longShare, capacity); err != nil { ... refuse ... }
//	b.StageDone(request, 0)
//	b.Leave(request)
package admit
