package batcher

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/serve/batching"
	"hawthornhub.example/hawthornhub/internal/serve/fairshare"
	"hawthornhub.example/hawthornhub/internal/state/site"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// RouterConfig configures a Router.
type RouterConfig struct {
	// Owner runs the jobs of the services that this process owns.
	Owner *Owner
	Pool  *link.Pool
	// Self is this process's link address.
	Self string
	// Owners returns the entries that may own services, those in an availability zone
	// if there are any; an empty zone stands for all. This process may be one of them.
	Owners func(zone string) []Candidate
	Log    *zap.Logger
}

// Router sends jobs to the owners of their services. It is safe for concurrent
// use.
type Router struct {
	cfg     RouterConfig
	ctx     context.Context
	cancel  context.CancelFunc
	mu      sync.Mutex
	remotes map[string]*remoteOwner
	// lost holds the lost owners by address.
	lost map[string]lostOwner
	// backlogs are the last reported backlogs.
	backlogs map[shard]reportedBacklog
	// asked is what accounts have asked for since the last job was sent, by shard and
	// account.
	asked map[shard]map[string]int
	// sent is the number of pieces sent since the last report of a backlog, by shard and
	// account.
	sent map[shard]map[string]int
	// counted is set once Asked has been called.
	counted bool
	// commitments are what the admitted requests of this process will still send.
	commitments commitments
	wg          sync.WaitGroup
}

// reportedBacklog is a backlog that an owner reported with a result.
type reportedBacklog struct {
	waits batching.Backlog
	at    time.Time
}

// backlogLifetime is the time in which the weight of a reported backlog falls
// linearly to 0.
const backlogLifetime = 2 * time.Second

// NewRouter returns a Router without streams.
func NewRouter(cfg RouterConfig) *Router {
	r := &Router{cfg: cfg, remotes: make(map[string]*remoteOwner), lost: make(map[string]lostOwner), backlogs: make(map[shard]reportedBacklog), asked: make(map[shard]map[string]int), sent: make(map[shard]map[string]int)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// Do runs a job at the owner of its service, or at the next owner if that one is
// lost.
func (r *Router) Do(ctx context.Context, job Job) Result {
	if err := job.Validate(); err != nil {
		return Failed{Err: err}
	}
	job.shardZone = shardOf(job, r.upstreams(job.Service)).zone
	job.asked, job.counted = r.prepare(job)
	result := r.route(ctx, job)
	switch result := result.(type) {
	case Completed:
		r.recordBacklog(job.shard(), result.Backlog)
	case Refused:
		r.recordBacklog(job.shard(), result.Backlog)
	}
	return result
}

func (r *Router) upstreams(service string) []catalog.Upstream {
	return r.cfg.Owner.cfg.Upstreams(service)
}

func (r *Router) recordBacklog(s shard, waits batching.Backlog) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backlogs[s] = reportedBacklog{waits: waits, at: time.Now()}
	delete(r.sent, s)
}

// QueueWait returns how long a new job of an account for a service that prefers a zone is
// expected to wait: onTime if it has the given rank and can meet its objective, total if it
// cannot.
func (r *Router) QueueWait(service, zone, account string, rank site.Rank) (onTime, total time.Duration) {
	s := shardOf(Job{Service: service, Zone: zone}, r.upstreams(service))
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.backlogs[s]
	weight := max(0, 1-time.Since(b.at).Seconds()/backlogLifetime.Seconds())
	decayed := func(wait time.Duration) time.Duration { return time.Duration(float64(wait) * weight) }
	onTime, total = b.waits.ForAccount(account, rank)
	onTime += time.Duration(r.sent[s][account]) * b.waits.Over[account].Piece
	return decayed(onTime), decayed(total)
}

// add adds the pieces of a job to those of its account.
func add(counts map[shard]map[string]int, s shard, job Job) {
	if counts[s] == nil {
		counts[s] = make(map[string]int)
	}
	counts[s][job.Account] += job.Pieces
}

// Standing returns the standing of an account at a service that prefers a zone, as its owner
// last reported it.
func (r *Router) Standing(service, zone, account string) fairshare.Standing {
	s := shardOf(Job{Service: service, Zone: zone}, r.upstreams(service))
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.backlogs[s]
	if time.Since(b.at) > backlogLifetime {
		return fairshare.Below
	}
	return b.waits.Over[account].Standing
}

// Asked records that the account of a job asks for its pieces. It is called once for each
// stage of a request when the request arrives, whether the request is served or not. What
// it records goes to the owner with the next job. A job that cannot be encoded is left out,
// as it would make all others fail with it.
func (r *Router) Asked(job Job) {
	if job.Validate() != nil {
		return
	}
	s := shardOf(job, r.upstreams(job.Service))
	r.mu.Lock()
	defer r.mu.Unlock()
	add(r.asked, s, job)
	r.counted = true
}

// prepare counts a job that is to be sent, and returns what accounts have asked for since
// the last call, false if that is not counted here.
func (r *Router) prepare(job Job) (asked map[string]int, counted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := job.shard()
	add(r.sent, s, job)
	asked = r.asked[s]
	delete(r.asked, s)
	return asked, r.counted
}

func (r *Router) route(ctx context.Context, job Job) Result {
	start := time.Now()
	for {
		owner, ok := r.owner(job.shard())
		if !ok || owner.Link == r.cfg.Self {
			return r.cfg.Owner.Do(ctx, job.WithElapsed(time.Since(start)))
		}
		result, err := r.forward(ctx, owner.Link, job.WithElapsed(time.Since(start)))
		if err == nil {
			return result
		}
		if ctx.Err() != nil {
			return Failed{Err: ctx.Err()}
		}
		r.cfg.Log.Warn("owner of pieces lost, asking the next",
			zap.String("request", job.RequestID), zap.String("service", job.Service), zap.String("owner", owner.Link), zap.Error(err))
		r.markLost(owner)
	}
}

// WithElapsed returns the job with its Timeout, Objective and InputsTTL reduced by d.
func (j Job) WithElapsed(d time.Duration) Job {
	j.Timeout -= d
	j.Objective -= d
	if j.InputsTTL > 0 {
		j.InputsTTL = max(time.Millisecond, j.InputsTTL-d)
	}
	return j
}

func (r *Router) forward(ctx context.Context, address string, job Job) (Result, error) {
	o, err := r.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	return o.run(ctx, job)
}

// Release releases results through the owners of their shards, which account for
// the memory that they use.
func (r *Router) Release(service string, handles []string) {
	for s, held := range r.byShard(service, handles) {
		r.releaseShard(s, held)
	}
}

// byShard sorts results by the shard of the upstream that holds them. It leaves out
// those of upstreams that are gone, if the service is split.
func (r *Router) byShard(service string, handles []string) map[shard][]string {
	out := make(map[shard][]string)
	upstreams := r.upstreams(service)
	if len(zonesToSplit(upstreams)) == 0 {
		if len(handles) > 0 {
			out[shard{service: service}] = handles
		}
		return out
	}
	zones := make(map[string]string, len(upstreams))
	for _, u := range upstreams {
		zones[u.Address] = u.Zone
	}
	for _, h := range handles {
		address := r.cfg.Owner.cfg.Codec.HolderAddress(h)
		zone, ok := zones[address]
		if !ok && r.cfg.Owner.cfg.Holder != nil {
			var u catalog.Upstream
			u, ok = r.cfg.Owner.cfg.Holder(address)
			zone = u.Zone
		}
		if ok {
			s := shard{service: service, zone: zone}
			out[s] = append(out[s], h)
		}
	}
	return out
}

// releaseShard releases results without waiting for the owner of their shard.
func (r *Router) releaseShard(s shard, handles []string) {
	owner, ok := r.owner(s)
	if !ok || owner.Link == r.cfg.Self || !r.start(func() { r.releaseAt(owner.Link, s, handles) }) {
		r.cfg.Owner.release(s, handles)
	}
}

// releaseAt releases results through the owner at an address, or directly if that one
// cannot be reached.
func (r *Router) releaseAt(address string, s shard, handles []string) {
	o, err := r.connect(r.ctx, address)
	if err == nil {
		err = o.send(&fleetpb.Envelope{Body: &fleetpb.Envelope_PieceRelease{PieceRelease: &fleetpb.PieceRelease{Service: s.service, Handles: handles, Shard: s.zone}}})
	}
	if err != nil {
		r.cfg.Log.Debug("owner not reachable; releasing results directly", zap.String("owner", address), zap.Error(err))
		r.cfg.Owner.release(s, handles)
	}
}

// start runs a function in a goroutine that Close waits for. It reports false if the
// Router is closed.
func (r *Router) start(run func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return false
	}
	r.wg.Go(run)
	return true
}

// Close closes all streams and waits until they have ended.
func (r *Router) Close() error {
	r.mu.Lock()
	r.cancel()
	r.mu.Unlock()
	r.wg.Wait()
	return nil
}
