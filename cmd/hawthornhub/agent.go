package main

import (
	"context"
	"encoding/json"
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

// agentStop bounds the graceful stop of an agent.
const agentStop = 30 * time.Second

// outcomeLinger is how long a stopping agent still answers for outcomes that
// entries may not have recorded yet.
const outcomeLinger = 300 * time.Millisecond

func agentCommand(app *kingpin.Application) command {
	clause := app.Command("agent", "Run an agent beside one upstream.")
	file := clause.Flag("settings", "Settings file.").Required().String()
	return command{clause: clause, run: func() error { return runAgent(*file) }}
}

// beside is a running agent instance.
type beside struct {
	process  *process.Process
	health   *health.Health
	agent    *agent.Agent
	said     atomic.Pointer[upstream.Announcement]
	http     *http.Server
	announce *http.Server
}

func runAgent(file string) error {
	s, err := load(file, settings.RoleAgent)
	if err != nil {
		return err
	}
	log, err := newLog(s, settings.RoleAgent)
	if err != nil {
		return err
	}
	b, err := startAgent(s, log)
	if err != nil {
		return err
	}
	ctx, cancel := waitForStop(b.process, agentStop)
	defer cancel()
	return b.stop(ctx)
}

func startAgent(s settings.Settings, log *zap.Logger) (*beside, error) {
	b := &beside{health: health.New(health.Config{Role: "agent", Process: s.Name})}
	var err error
	var a atomic.Pointer[agent.Agent]
	b.process, err = process.Start(process.Config{
		Settings: s,
		Role:     settings.RoleAgent,
		Log:      log,
		Handle: func(_ context.Context, st *link.Stream, first *fleetpb.Envelope) {
			if running := a.Load(); running != nil {
				serveAgent(running, st, first)
			}
		},
		OnDocumentChange: func(h *control.LeasedDocument) {
			if running := a.Load(); running != nil {
				running.SetLongShare(h.Schema.Upstreams.LongShare)
			}
		},
		FillPong: func(pong *fleetpb.Pong) {
			if running := a.Load(); running != nil {
				pong.Word = running.QueueReport()
			}
		},
		Drain:      func() { b.leave() },
		FillMember: b.describe,
	})
	if err != nil {
		return nil, err
	}
	b.agent = agent.Start(agent.Config{
		Name:         s.Name,
		Incarnation:  b.process.Incarnation,
		StallTimeout: s.Agent.Stall(),
		System:       b.process.System,
		Timeline:     b.process.Timeline,
		Follower:     b.process.Follower,
		Client:       b.process.Client,
		Log:          log,
		OnAnnounce:   b.announced,
	})
	a.Store(b.agent)
	return b, b.serve(s, log)
}

func (b *beside) serve(s settings.Settings, log *zap.Logger) error {
	mux := http.NewServeMux()
	b.health.Routes(mux)
	b.health.SetReady(b.ready)
	var err error
	if b.http, err = serveHTTP(s.Listen.HTTP, mux, log); err != nil {
		return err
	}
	inner := http.NewServeMux()
	inner.HandleFunc("POST /v1/announce", b.takeAnnouncement)
	inner.HandleFunc("POST /v1/load", b.takeLoad)
	if b.announce, err = serveHTTP(s.Agent.Announce, inner, log); err != nil {
		return err
	}
	return b.process.Join()
}

// serveAgent answers one stream of another process.
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

func (b *beside) ready() error {
	if b.said.Load() == nil {
		return errors.New("no upstream has announced itself")
	}
	if b.agent.QueueReport().Leaving {
		return errors.New("leaving")
	}
	return nil
}

func (b *beside) announced(said upstream.Announcement) {
	b.said.Store(&said)
	b.process.UpdateSelf()
}

func (b *beside) describe(m *fleetpb.Member) {
	if said := b.said.Load(); said != nil {
		m.Kind, m.Model, m.Slots, m.Fenced = said.Kind, said.Model, uint32(said.Slots), said.Fenced
	}
}

func (b *beside) takeAnnouncement(w http.ResponseWriter, r *http.Request) {
	var said upstream.Announcement
	if err := json.NewDecoder(r.Body).Decode(&said); err != nil || said.Kind == "" || said.Slots < 1 || said.Address == "" {
		http.Error(w, "announce kind, slots and address", http.StatusBadRequest)
		return
	}
	b.agent.Announce(said)
	fmt.Fprintln(w, "ok")
}

func (b *beside) takeLoad(w http.ResponseWriter, r *http.Request) {
	var l upstream.Load
	if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
		http.Error(w, "report running and waiting", http.StatusBadRequest)
		return
	}
	b.agent.ReportLoad(l)
	fmt.Fprintln(w, "ok")
}

func (b *beside) leave() {
	b.agent.Drain()
	b.process.Leave()
}

// stop leaves, finishes what has begun, and ends.
func (b *beside) stop(ctx context.Context) error {
	b.leave()
	if n := b.agent.WaitIdle(ctx); n > 0 {
		b.process.Log.Error("calls cut", zap.Int("calls", n))
	}
	select {
	case <-ctx.Done():
	case <-time.After(outcomeLinger):
	}
	return errors.Join(b.announce.Close(), b.http.Close(), b.agent.Close(), b.process.Close(), b.health.Close())
}
