package batcher

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// benchCallTime is how long an upstream works on a call. It is short for one.
const benchCallTime = 10 * time.Millisecond

// BenchmarkCalls measures what a job of one piece costs in time and in connections, with the
// release of its result: one after the other, at an upstream that fails no piece, one in 20,
// and every one.
func BenchmarkCalls(b *testing.B) {
	for _, failEvery := range []int{0, 20, 1} {
		b.Run(fmt.Sprint("fails_one_in_", failEvery), func(b *testing.B) {
			u := newFakeUpstream(b)
			u.answer = func(call int, items []Item) (int, []Output) {
				time.Sleep(benchCallTime)
				if failEvery == 0 || call%failEvery != 0 {
					return http.StatusOK, u.handles(call, items)
				}
				out := make([]Output, len(items))
				for i := range out {
					out[i].Reason = ReasonFailed
				}
				return http.StatusOK, out
			}
			o := newOwner(b, 1<<40, u)
			released, calls := 0, int64(0)
			start := time.Now()
			for b.Loop() {
				if r, ok := o.Do(b.Context(), newJob("r", 1)).(Completed); ok {
					o.release(shard{service: "scan"}, r.Handles)
					released++
				}
			}
			eventually(b, "the release of all results", func() bool {
				all, handles := u.recorded()
				calls = int64(len(all))
				return len(handles) == released
			})
			seconds := time.Since(start).Seconds()
			b.ReportMetric(float64(u.connections.Load())/float64(b.N), "dials/op")
			b.ReportMetric(float64(u.connections.Load())/seconds, "dials/s")
			b.ReportMetric(float64(calls)/seconds, "calls/s")
		})
	}
}
