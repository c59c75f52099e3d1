package batcher

import (
	"context"
	"sync"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
)

// releases holds the results that wait for their release. The zero value is empty.
type releases struct {
	mu        sync.Mutex
	upstreams map[string]*pendingRelease
}

// pendingRelease holds the results to be released at one upstream.
type pendingRelease struct {
	// sent bounds the rate of releases.
	sent spacing
	// handles are the results that wait for the next release, by the shard that accounts
	// for them.
	handles map[shard][]string
	// waiting is set while a goroutine waits to release them.
	waiting bool
}

// add records results to be released at an upstream. It returns whether the caller has to
// take them, and after what time.
func (r *releases) add(now time.Time, id string, s shard, handles []string) (wait time.Duration, take bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.upstreams == nil {
		r.upstreams = make(map[string]*pendingRelease)
	}
	p := r.upstreams[id]
	if p == nil {
		p = &pendingRelease{handles: make(map[shard][]string)}
		r.upstreams[id] = p
	}
	p.handles[s] = append(p.handles[s], handles...)
	if p.waiting {
		return 0, false
	}
	p.waiting = true
	wait = p.sent.wait(now, releaseInterval, releaseBurst)
	p.sent.add(now, releaseInterval)
	return wait, true
}

// take returns the results to be released at an upstream, and forgets upstreams without any
// that may be sent releases at once.
func (r *releases) take(now time.Time, id string) map[shard][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.upstreams[id]
	out := p.handles
	p.handles, p.waiting = make(map[shard][]string), false
	for id, other := range r.upstreams {
		if len(other.handles) == 0 && other.sent.free.Before(now) {
			delete(r.upstreams, id)
		}
	}
	return out
}

// release releases results at the upstreams that hold them. Each request takes a connection
// of its own, as its answer bears nothing that tells it from others. Results whose release
// comes too soon after others wait for the next request.
func (o *Owner) release(s shard, handles []string) {
	if len(handles) == 0 {
		return
	}
	for u, held := range o.byHolder(s, handles) {
		if o.ctx.Err() != nil {
			return
		}
		wait, take := o.releases.add(time.Now(), u.ID, s, held)
		if !take {
			continue
		}
		o.wg.Add(1)
		go func() {
			defer o.wg.Done()
			if sleep(o.ctx, wait) {
				o.releaseAt(u)
			}
		}()
	}
}

// sleep waits and returns true, or returns false as soon as ctx is done.
func sleep(ctx context.Context, d time.Duration) bool {
	if d == 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// releaseAt releases the results that wait for their release at an upstream.
func (o *Owner) releaseAt(u catalog.Upstream) {
	byShard := o.releases.take(time.Now(), u.ID)
	var all []string
	for _, handles := range byShard {
		all = append(all, handles...)
	}
	o.sendRelease(u, all)
	for s, handles := range byShard {
		o.recordRelease(s, u.ID, handles)
	}
}
