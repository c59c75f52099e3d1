package timeline

import (
	"sort"
	"sync"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// defaultCapacity is the default number of events that a Recorder keeps.
const defaultCapacity = 16384

// Config configures a Recorder.
type Config struct {
	// Process is the process name that the events carry.
	Process string
	// Clock timestamps the events; nil means a new one.
	Clock *Clock
	// Capacity is the number of events to keep; 0 means 16384.
	Capacity int
	// Log receives each event at debug level; nil means none.
	Log *zap.Logger
}

// Recorder keeps the newest events of a process in a ring buffer. It is safe for
// concurrent use.
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

// Clock returns the clock that timestamps the events.
func (r *Recorder) Clock() *Clock { return r.cfg.Clock }

// Add records an event. request is the ID of the request that it concerns, or
// empty if it concerns none.
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

// Events returns the events of a request, oldest first, or all events if request
// is empty. If limit is above 0, it returns only that many of the newest.
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

// Merge returns the events of several processes in one order in which each event
// comes after its causes.
func Merge(lists ...[]*fleetpb.Event) []*fleetpb.Event {
	var out []*fleetpb.Event
	for _, l := range lists {
		out = append(out, l...)
	}
	sort.SliceStable(out, func(i, j int) bool { return before(out[i], out[j]) })
	return out
}

// before orders events by timestamp. Process name and sequence number break ties.
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
