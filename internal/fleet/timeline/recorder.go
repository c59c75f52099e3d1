package timeline

import (
	"sort"
	"sync"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// defaultCapacity is the number of events a process keeps.
const defaultCapacity = 16384

// Config builds a Recorder.
type Config struct {
	// Process is the name of the process.
	Process string
	// Clock stamps the events; nil is a new one.
	Clock *Clock
	// Capacity is the number of events kept; 0 is 16384.
	Capacity int
	// Log receives each event at debug level; nil is none.
	Log *zap.Logger
}

// Recorder keeps the newest events of a process. It is safe for concurrent
// use.
type Recorder struct {
	cfg  Config
	mu   sync.Mutex
	ring []*fleetpb.Event
	seq  uint64
}

// NewRecorder returns an empty Recorder.
func NewRecorder(cfg Config) *Recorder {
	if cfg.Capacity == 0 {
		cfg.Capacity = defaultCapacity
	}
	if cfg.Clock == nil {
		cfg.Clock = &Clock{}
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	return &Recorder{cfg: cfg, ring: make([]*fleetpb.Event, cfg.Capacity)}
}

// Clock returns the clock that stamps the events.
func (r *Recorder) Clock() *Clock { return r.cfg.Clock }

// Add records a decision about a request; request is empty for others.
func (r *Recorder) Add(kind, request, detail string) {
	e := &fleetpb.Event{
		Process: r.cfg.Process,
		Clock:   r.cfg.Clock.Next(),
		Kind:    kind,
		Request: request,
		Detail:  detail,
	}
	r.mu.Lock()
	r.seq++
	e.Seq = r.seq
	r.ring[int(r.seq)%len(r.ring)] = e
	r.mu.Unlock()
	if c := r.cfg.Log.Check(zap.DebugLevel, kind); c != nil {
		c.Write(zap.String("request", request), zap.String("detail", detail), zap.Uint64("seq", e.Seq))
	}
}

// Events returns the kept events of a request, or all where request is empty,
// oldest first, the newest limit of them where limit is above 0.
func (r *Recorder) Events(request string, limit int) []*fleetpb.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*fleetpb.Event
	for i := 1; i <= len(r.ring); i++ {
		e := r.ring[(int(r.seq)+i)%len(r.ring)]
		if e != nil && (request == "" || e.Request == request) {
			out = append(out, e)
		}
	}
	if limit > 0 && len(out) > limit {
		out = out[len(out)-limit:]
	}
	return out
}

// Merge returns the events of several processes in one order that keeps each
// cause before its effects.
func Merge(lists ...[]*fleetpb.Event) []*fleetpb.Event {
	var out []*fleetpb.Event
	for _, l := range lists {
		out = append(out, l...)
	}
	sort.SliceStable(out, func(i, j int) bool { return before(out[i], out[j]) })
	return out
}

func before(a, b *fleetpb.Event) bool {
	if a.Clock.GetWallMs() != b.Clock.GetWallMs() {
		return a.Clock.GetWallMs() < b.Clock.GetWallMs()
	}
	if a.Clock.GetLogical() != b.Clock.GetLogical() {
		return a.Clock.GetLogical() < b.Clock.GetLogical()
	}
	if a.Process != b.Process {
		return a.Process < b.Process
	}
	return a.Seq < b.Seq
}
