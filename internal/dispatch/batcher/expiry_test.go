package batcher

import (
	"context"
	"testing"
	"time"
)

// Guards against a call whose inputs expire while its pieces are queued: the upstream
// would find them gone, and the time of the call would be lost.
func TestQueuedJobWithExpiringInputsIsNotSent(t *testing.T) {
	u := newFakeUpstream(t)
	hold := make(chan struct{})
	u.hold = hold
	o := newOwner(t, 1<<30, u)
	first := make(chan Result, 1)
	go func() { first <- o.Do(context.Background(), newJob("first", 1)) }()
	eventually(t, "the call", func() bool { calls, _ := u.recorded(); return len(calls) == 1 })
	queued := newJob("queued", 1)
	queued.Key, queued.Inputs, queued.InputsTTL = "", []string{"1.1.1.1:1/input"}, 2*InputFetchTime
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	start := time.Now()
	failed, ok := o.Do(ctx, queued).(Failed)
	if !ok || !failed.InputsGone {
		t.Errorf("got %+v, want a failure whose inputs are gone", failed)
	}
	if ctx.Err() != nil {
		t.Errorf("no result after %v", time.Since(start))
	}
	close(hold)
	if _, ok := (<-first).(Completed); !ok {
		t.Error("the first job has not completed")
	}
	calls, _ := u.recorded()
	if got, want := len(calls), 1; got != want {
		t.Errorf("%d calls, want %d", got, want)
	}
}

// Guards against an age of results or a time to their expiry that is lost between an entry
// and an owner: the stage after them would be queued past their expiry.
func TestExpiryIsSentToOwner(t *testing.T) {
	want := 300 * time.Millisecond
	completed, ok := resultOf(pieceResult(1, Completed{Oldest: want})).(Completed)
	if !ok || completed.Oldest != want {
		t.Errorf("got %v, want %v", completed.Oldest, want)
	}
	if got := jobOf(Job{InputsTTL: want}.pieceCall(1)).InputsTTL; got != want {
		t.Errorf("inputs expire after %v at the owner, want %v", got, want)
	}
}
