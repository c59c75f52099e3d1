package batcher

import "hawthornhub.example/hawthornhub/internal/serve/batching"

// announceDispatch tells the caller of a job, once, that no further call needs its inputs.
func (w *waiter) announceDispatch(j *batching.Job) {
	if w.onDispatched == nil || w.unfetched > 0 || !j.Dispatched() {
		return
	}
	w.onDispatched()
	w.onDispatched = nil
}

// announceFetched ends the wait for the inputs of a call that has ended, and returns a
// function that announces the dispatch of its jobs once its outputs are recorded.
//
// An idle upstream fetches the inputs of a call right away. One that has other calls, such as
// those of an owner before, fetches them when the call's turn comes, and the pieces are lost
// if the inputs have been released by then. The caller holds mu, also when it calls the
// function.
func (d *dispatcher) announceFetched(s *upstreamState, batch []batching.Piece) func() {
	if !s.busy {
		return func() {}
	}
	jobs := make(map[*batching.Job]*waiter)
	for _, piece := range batch {
		if w := d.waiters[piece.Job]; w != nil {
			w.unfetched--
			jobs[piece.Job] = w
		}
	}
	return func() {
		for j, w := range jobs {
			w.announceDispatch(j)
		}
	}
}
