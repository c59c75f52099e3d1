package pooling

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/fleet/rendezvous"
	"hawthornhub.example/hawthornhub/internal/operator/logs"
	"hawthornhub.example/hawthornhub/internal/serve/capacity"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

const (
	// discoverInterval is how often it is looked for services that are not reported on yet.
	discoverInterval = time.Second
	// answerTimeout is the longest wait for the answer to a report.
	answerTimeout = time.Second
	// lostFor is how long an entry that has not answered is passed over.
	lostFor = 3 * time.Second
	// silenceTimeout is the time without a report after which a stream is closed. Reports
	// are at most 10 s apart.
	silenceTimeout = 30 * time.Second
	// maxServices bounds the services that are reported on, and those pooled here.
	maxServices = 64
	// frameBytes is the size of the head of a message on a link.
	frameBytes = 14
)

// Config configures an Exchange.
type Config struct {
	// Model holds what this process observes, and gets the pooled paces.
	Model *capacity.Model
	// Links opens streams to other entries.
	Links *link.Pool
	// Self is the link address of this process.
	Self string
	// Entries returns the link addresses of the live entries.
	Entries func() []string
	Log     *zap.Logger
}

// Exchange reports the observations of this process to the entries that pool them, and
// pools those of others. It is safe for concurrent use.
type Exchange struct {
	cfg    Config
	pool   *capacity.Pool
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// streams is the number of streams on which reports arrive.
	streams atomic.Int64
	// sent and received are the bytes of all messages.
	sent, received atomic.Int64
	mu             sync.Mutex
	// reporters are the services that are reported on.
	reporters map[string]bool
	// pooled are the services whose reports have arrived here.
	pooled map[string]bool
	// lost are the times at which entries did not answer.
	lost map[string]time.Time
}

// New starts an Exchange. Close stops it.
func New(cfg Config) *Exchange {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	x := &Exchange{cfg: cfg, pool: capacity.NewPool(), reporters: make(map[string]bool), pooled: make(map[string]bool), lost: make(map[string]time.Time)}
	x.ctx, x.cancel = context.WithCancel(context.Background())
	x.wg.Add(1)
	go x.discover()
	return x
}

// Close stops the reports and waits for them to end.
func (x *Exchange) Close() error {
	x.cancel()
	x.wg.Wait()
	return nil
}

// Bytes returns the number of bytes sent and received since the start.
func (x *Exchange) Bytes() (sent, received int64) { return x.sent.Load(), x.received.Load() }

// Streams returns the number of streams on which reports arrive here.
func (x *Exchange) Streams() int { return int(x.streams.Load()) }

// discover starts a reporter for each service that is observed.
func (x *Exchange) discover() {
	defer x.wg.Done()
	for x.sleep(discoverInterval) {
		for _, service := range x.cfg.Model.Services() {
			x.startReporter(service)
		}
	}
}

func (x *Exchange) startReporter(service string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.reporters[service] || len(x.reporters) >= maxServices {
		return
	}
	x.reporters[service] = true
	x.wg.Add(1)
	go func() {
		defer x.wg.Done()
		(&reporter{exchange: x, service: service}).run()
	}()
}

// sleep waits and reports whether the Exchange is still open.
func (x *Exchange) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-x.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// poolingEntry returns the address of the entry that pools the observations of a service,
// this process if there is no other.
func (x *Exchange) poolingEntry(now time.Time, service string) string {
	entries := x.cfg.Entries()
	x.mu.Lock()
	answering := slices.DeleteFunc(slices.Clone(entries), func(address string) bool {
		at, lost := x.lost[address]
		return lost && now.Sub(at) < lostFor
	})
	x.mu.Unlock()
	address, ok := rendezvous.Best("capacity/"+service, answering, func(s string) string { return s })
	if !ok {
		return x.cfg.Self
	}
	return address
}

func (x *Exchange) markLost(address string, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for known, at := range x.lost {
		if now.Sub(at) >= lostFor {
			delete(x.lost, known)
		}
	}
	x.lost[address] = now
}

// reporter reports on one service.
type reporter struct {
	exchange *Exchange
	service  string
	// stream leads to address, nil if it has to be opened.
	stream  *link.Stream
	address string
}

func (r *reporter) run() {
	defer r.close()
	x := r.exchange
	interval := capacity.ReportInterval(1)
	for x.sleep(interval) {
		func() {
			defer logs.Recover(x.cfg.Log, "capacity report on "+r.service, nil)
			interval = r.report()
		}()
	}
}

// report makes one exchange and returns the time until the next.
func (r *reporter) report() time.Duration {
	x := r.exchange
	now := time.Now()
	x.mu.Lock()
	interval := capacity.ReportInterval(len(x.reporters))
	x.mu.Unlock()
	address := x.poolingEntry(now, r.service)
	if address != r.address {
		r.close()
		x.cfg.Log.Info("observations of a service are pooled at an entry", zap.String("service", r.service), zap.String("entry", address))
		r.address = address
	}
	records := x.cfg.Model.Report(now, r.service, capacity.MaxReportRecords)
	if address == x.cfg.Self {
		x.cfg.Model.Apply(now, r.service, x.pool.Add(now, r.service, address, records, capacity.MaxNewsRecords))
		return interval
	}
	news, err := r.roundTrip(address, records)
	if err != nil {
		x.cfg.Log.Debug("capacity report not answered", zap.String("service", r.service), zap.String("entry", address), zap.Error(err))
		r.close()
		x.markLost(address, now)
		return interval
	}
	x.cfg.Model.Apply(time.Now(), r.service, decode(news.Records))
	return max(interval, min(capacity.PoolInterval(1<<20), time.Duration(news.IntervalMs)*time.Millisecond))
}

// roundTrip sends a report to an entry and returns its answer.
func (r *reporter) roundTrip(address string, records []capacity.Record) (*fleetpb.CapacityNews, error) {
	x := r.exchange
	report := &fleetpb.CapacityReport{Records: encode(records)}
	if r.stream == nil {
		ctx, cancel := context.WithTimeout(x.ctx, answerTimeout)
		defer cancel()
		st, err := x.cfg.Links.OpenStream(ctx, address)
		if err != nil {
			return nil, err
		}
		r.stream = st
		report.Service = r.service
	}
	st := r.stream
	stop := context.AfterFunc(x.ctx, func() { st.SetReadDeadline(time.Now()) })
	defer stop()
	if err := st.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		return nil, err
	}
	e := &fleetpb.Envelope{Body: &fleetpb.Envelope_CapacityReport{CapacityReport: report}}
	if err := st.Send(e); err != nil {
		return nil, err
	}
	x.sent.Add(size(e))
	answer, err := st.Recv()
	if err != nil {
		return nil, err
	}
	x.received.Add(size(answer))
	news := answer.GetCapacityNews()
	if news == nil {
		return nil, fmt.Errorf("%s answered a capacity report with another message; update the older of both programs", answer.From)
	}
	return news, nil
}

func (r *reporter) close() {
	if r.stream != nil {
		r.stream.Close()
		r.stream = nil
	}
}

// Serve answers the reports of another entry until its stream ends.
func (x *Exchange) Serve(ctx context.Context, st *link.Stream, first *fleetpb.Envelope) {
	service, from := first.GetCapacityReport().GetService(), first.From
	if !x.accepts(service) {
		x.cfg.Log.Warn("capacity report without a known service; update the older of both programs", zap.String("from", from))
		return
	}
	x.streams.Add(1)
	defer x.streams.Add(-1)
	defer context.AfterFunc(ctx, func() { st.Close() })()
	x.pool.Forget(service, from)
	for e := first; ; {
		x.received.Add(size(e))
		answer := x.answer(time.Now(), service, from, e.GetCapacityReport())
		if err := st.Send(answer); err != nil {
			return
		}
		x.sent.Add(size(answer))
		if err := st.SetReadDeadline(time.Now().Add(silenceTimeout)); err != nil {
			return
		}
		next, err := st.Recv()
		if err != nil || next.GetCapacityReport() == nil {
			return
		}
		e = next
	}
}

// accepts reports whether the observations of a service are pooled here.
func (x *Exchange) accepts(service string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if service == "" || !x.pooled[service] && len(x.pooled) >= maxServices {
		return false
	}
	x.pooled[service] = true
	return true
}

// answer returns the answer to a report.
func (x *Exchange) answer(now time.Time, service, from string, report *fleetpb.CapacityReport) *fleetpb.Envelope {
	changed := x.pool.Add(now, service, from, decode(report.GetRecords()), capacity.MaxNewsRecords)
	return &fleetpb.Envelope{Body: &fleetpb.Envelope_CapacityNews{CapacityNews: &fleetpb.CapacityNews{
		Records:    encode(changed),
		IntervalMs: uint32(capacity.PoolInterval(x.Streams()).Milliseconds()),
	}}}
}

// size returns the size of a message on a link.
func size(e *fleetpb.Envelope) int64 { return int64(proto.Size(e) + frameBytes) }

// encode returns the records in columns, nil for none.
func encode(records []capacity.Record) *fleetpb.CapacityRecords {
	if len(records) == 0 {
		return nil
	}
	m := &fleetpb.CapacityRecords{}
	for _, r := range records {
		m.Upstreams = append(m.Upstreams, r.Upstream)
		m.Paces = append(m.Paces, r.Pace)
		m.Weights = append(m.Weights, r.Weight)
	}
	return m
}

// maxRecords bounds the records of one message, whatever its sender takes for the limit.
const maxRecords = 256

// decode returns the records of a message. It ignores those that are not complete.
func decode(m *fleetpb.CapacityRecords) []capacity.Record {
	n := min(len(m.GetUpstreams()), len(m.GetPaces()), len(m.GetWeights()), maxRecords)
	out := make([]capacity.Record, n)
	for i := range out {
		out[i] = capacity.Record{Upstream: m.Upstreams[i], Pace: m.Paces[i], Weight: m.Weights[i]}
	}
	return out
}
