package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/api/health"
	"hawthornhub.example/hawthornhub/internal/dispatch/agent"
	"hawthornhub.example/hawthornhub/internal/dispatch/upstream"
	"hawthornhub.example/hawthornhub/internal/fleet/control"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/fleet/process"
	"hawthornhub.example/hawthornhub/internal/operator/settings"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// agentStopTimeout is the maximum duration of a graceful stop.
const agentStopTimeout = 30 * time.Second

// outcomeLinger is how long an idle agent goes on answering queries before it
// stops: an entry may not have recorded the outcome of its last call yet.
const outcomeLinger = 300 * time.Millisecond

func agentCommand(app *kingpin.Application) command {
	clause := app.Command("agent", "Run an agent, the sidecar of one upstream.")
	file := clause.Flag("settings", "Settings file.").Required().String()
	return command{clause: clause, run: func() error { return runAgent(*file) }}
}

// agentProcess is a running agent.
type agentProcess struct {
	process *process.Process
	health  *health.Health
	agent   *agent.Agent
	// announcement is the upstream's latest announcement, nil before the first.
	announcement atomic.Pointer[upstream.Announcement]
	// http serves health and metrics.
	http *http.Server
	// upstreamHTTP serves the upstream.
	upstreamHTTP *http.Server
}

func runAgent(file string) error {
	s, err := loadSettings(file, settings.RoleAgent)
	if err != nil {
		return err
	}
	log, err := newLogger(s, settings.RoleAgent)
	if err != nil {
		return err
	}
	p, err := startAgent(s, log)
	if err != nil {
		return err
	}
	ctx, cancel := waitForStop(p.process, agentStopTimeout)
	defer cancel()
	return p.stop(ctx)
}

func startAgent(s settings.Settings, log *zap.Logger) (*agentProcess, error) {
	p := &agentProcess{health: health.New(health.Config{Role: "agent", Process: s.Name})}
	var err error
	var current atomic.Pointer[agent.Agent] // set after the process has started
	p.process, err = process.Start(process.Config{
		Settings: s,
		Role:     settings.RoleAgent,
		Log:      log,
		Handle: func(_ context.Context, st *link.Stream, first *fleetpb.Envelope) {
			if a := current.Load(); a != nil {
				serveAgent(a, st, first)
			}
		},
		OnDocumentChange: func(d *control.LeasedDocument) {
			if a := current.Load(); a != nil {
				a.SetLongShare(d.Schema.Upstreams.LongShare)
			}
		},
		FillPong: func(pong *fleetpb.Pong) {
			if a := current.Load(); a != nil {
				pong.Word = a.QueueReport()
			}
		},
		Drain:      func() { p.drain() },
		FillMember: p.fillMember,
	})
	if err != nil {
		return nil, err
	}
	p.agent = agent.Start(agent.Config{
		Name:         s.Name,
		Zone:         s.Zone,
		Incarnation:  p.process.Incarnation,
		StallTimeout: s.Agent.StallTimeout(),
		System:       p.process.System,
		Timeline:     p.process.Timeline,
		Follower:     p.process.Follower,
		Client:       p.process.Client,
		Log:          log,
		OnAnnounce:   p.onAnnounce,
	})
	current.Store(p.agent)
	return p, p.serve(s, log)
}

func (p *agentProcess) serve(s settings.Settings, log *zap.Logger) error {
	mux := http.NewServeMux()
	p.health.Routes(mux)
	p.health.SetReady(p.checkReady)
	var err error
	if p.http, err = serveHTTP(s.Listen.HTTP, mux, log); err != nil {
		return err
	}
	upstreamMux := http.NewServeMux()
	upstreamMux.HandleFunc("POST /v1/announce", p.handleAnnounce)
	upstreamMux.HandleFunc("POST /v1/load", p.handleLoad)
	if p.upstreamHTTP, err = serveHTTP(s.Agent.Announce, upstreamMux, log); err != nil {
		return err
	}
	return p.process.Join()
}

// serveAgent handles a stream of another process, by the type of its first
// envelope.
func serveAgent(a *agent.Agent, st *link.Stream, first *fleetpb.Envelope) {
	switch body := first.Body.(type) {
	case *fleetpb.Envelope_Call:
		a.Serve(st, first)
	case *fleetpb.Envelope_Query:
		_ = st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_QueryReply{QueryReply: a.QueryAttempt(body.Query)}})
	case *fleetpb.Envelope_OrderRequest:
		_ = st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_OrderReply{OrderReply: a.Order(body.OrderRequest)}})
	}
}

// checkReady returns an error if the agent has no upstream or is draining.
func (p *agentProcess) checkReady() error {
	if p.announcement.Load() == nil {
		return errors.New("no upstream has announced itself")
	}
	if p.agent.QueueReport().Leaving {
		return errors.New("leaving")
	}
	return nil
}

func (p *agentProcess) onAnnounce(ann upstream.Announcement) {
	p.announcement.Store(&ann)
	p.process.UpdateSelf()
}

func (p *agentProcess) fillMember(m *fleetpb.Member) {
	if ann := p.announcement.Load(); ann != nil {
		m.Kind, m.Model, m.Slots, m.Fenced = ann.Kind, ann.Model, uint32(ann.Slots), ann.Fenced
	}
}

func (p *agentProcess) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	ann, err := upstream.DecodeAnnouncement(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.agent.Announce(ann)
	fmt.Fprintln(w, "ok")
}

func (p *agentProcess) handleLoad(w http.ResponseWriter, r *http.Request) {
	l, err := upstream.DecodeLoad(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.agent.ReportLoad(l)
	fmt.Fprintln(w, "ok")
}

func (p *agentProcess) drain() {
	p.agent.Drain()
	p.process.Leave()
}

// stop drains the agent, waits for the running calls until ctx ends, and closes
// everything.
func (p *agentProcess) stop(ctx context.Context) error {
	p.drain()
	if n := p.agent.WaitIdle(ctx); n > 0 {
		p.process.Log.Error("running calls aborted at the end of the graceful stop", zap.Int("calls", n))
	}
	select {
	case <-ctx.Done():
	case <-time.After(outcomeLinger):
	}
	return errors.Join(p.upstreamHTTP.Close(), p.http.Close(), p.agent.Close(), p.process.Close(), p.health.Close())
}
