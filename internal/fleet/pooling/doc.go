// Package pooling exchanges what entries observe of the pace of upstreams, without control
// instances.
//
// One entry pools the observations of a service. It is chosen by rendezvous hashing over
// the live entries. Every entry keeps one stream to it, sends a report every second or
// less often, and gets back the pooled paces that have changed. The pooling entry sets the
// interval by the number of streams that it has, so that what it sends and receives stays
// within bounds. If it does not answer, the entry goes on with what it knows and reports to
// the next one. Package capacity decides what the messages hold.
//
// # Usage
//
//	x := pooling.New(pooling.Config{Model: model, Links: pool, Self: address, Entries: live})
//	x.Serve(ctx, stream, first) // for each stream that begins with a CapacityReport
//	defer x.Close()
package pooling
