package process

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"
	"go.uber.org/zap/exp/zapslog"

	"hawthornhub.example/hawthornhub/internal/fleet/control"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/fleet/member"
	"hawthornhub.example/hawthornhub/internal/fleet/timeline"
	"hawthornhub.example/hawthornhub/internal/operator/settings"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// Config starts a Process.
type Config struct {
	Settings settings.Settings
	Role     settings.Role
	Log      *zap.Logger
	// Handle serves the streams that the Process does not serve itself.
	Handle link.Handler
	// Document returns the document where the role holds it itself; nil lets
	// the Process follow control.
	Document func() *control.Held
	// Status completes what the process says of itself; nil adds nothing.
	Status func(*fleetpb.Status)
	// DocumentChanged is told of each new document.
	DocumentChanged func(*control.Held)
	// MembersChanged is told after each change of membership.
	MembersChanged func([]*fleetpb.Member)
	// Answer completes the answers to heartbeats; nil adds nothing.
	Answer func(*fleetpb.Pong)
	// Answered receives the answers to the own heartbeats; nil drops them.
	Answered func(address string, pong *fleetpb.Pong)
	// Drain is told to leave; nil ignores it.
	Drain func()
	// Describe completes the process's own membership record; nil adds nothing.
	Describe func(*fleetpb.Member)
}

// Process is a running process of the fleet.
type Process struct {
	cfg         Config
	Incarnation uint64
	Log         *zap.Logger
	System      *actor.ActorSystem
	Timeline    *timeline.Recorder
	Pool        *link.Pool
	Server      *link.Server
	Client      *control.Client
	Follower    *control.Follower
	members     atomic.Pointer[member.Service]
	certs       *link.Certificates
	mu          sync.Mutex
	places      map[string]*fleetpb.Member
}

// Start starts everything but membership, which Join starts once the role is
// ready to be found.
func Start(cfg Config) (*Process, error) {
	s := cfg.Settings
	p := &Process{
		cfg:         cfg,
		Incarnation: uint64(time.Now().UnixNano()),
		Log:         cfg.Log,
		places:      make(map[string]*fleetpb.Member),
	}
	p.System = Actors(cfg.Log)
	p.Timeline = timeline.NewRecorder(timeline.Config{Process: s.Name, Log: cfg.Log})
	auth, err := p.auth()
	if err != nil {
		return nil, err
	}
	local := link.Local{Name: s.Name, Clock: p.Timeline.Clock(), DocumentIndex: p.documentIndex, ObserveDocument: p.heard}
	p.Pool = link.NewPool(link.PoolConfig{Local: local, Auth: auth, OnPong: cfg.Answered, Log: cfg.Log})
	p.Client = control.NewClient(control.ClientConfig{Pool: p.Pool, Peers: Addresses(s)})
	if cfg.Document == nil {
		p.Follower = control.NewFollower(control.FollowerConfig{
			Pool:    p.Pool,
			Sources: p.relays,
			Control: Addresses(s),
			Changed: p.documentChanged,
			Log:     cfg.Log,
		})
	}
	p.Server, err = link.Listen(link.ServerConfig{
		Address:  s.Listen.Link,
		Local:    local,
		Auth:     auth,
		Handle:   p.handle,
		FillPong: cfg.Answer,
		Log:      cfg.Log,
	})
	if err != nil {
		return nil, errors.Join(err, p.Close())
	}
	return p, nil
}

// Actors returns an actor system that logs where the process does.
func Actors(log *zap.Logger) *actor.ActorSystem {
	return actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(zapslog.NewHandler(log.Core(), zapslog.WithName("actor")))
	}))
}

// Addresses returns the control instances of the settings.
func Addresses(s settings.Settings) []control.Address {
	var out []control.Address
	for _, c := range s.Control {
		out = append(out, control.Address{Name: c.Name, Link: c.Link})
	}
	return out
}

func (p *Process) auth() (link.Auth, error) {
	key, err := p.cfg.Settings.FleetKey()
	if err != nil {
		return link.Auth{}, err
	}
	auth := link.Auth{Key: key}
	t := p.cfg.Settings.TLS
	if t.Enabled() {
		auth.TLS, err = link.LoadCertificates(t.CertFile, t.KeyFile, t.CAFile)
		p.certs = auth.TLS
	}
	return auth, err
}

// Reload reads the TLS files again.
func (p *Process) Reload() error {
	if p.certs == nil {
		return nil
	}
	return p.certs.Reload()
}

// Join makes the process known to the others.
func (p *Process) Join() error {
	key, err := p.cfg.Settings.FleetKey()
	if err != nil {
		return err
	}
	svc, err := member.Start(member.ServiceConfig{
		Address:         p.cfg.Settings.Listen.Gossip,
		Key:             key,
		Self:            p.self(),
		Seeds:           seeds(p.cfg.Settings),
		OnChange:        p.memberChanged,
		DocumentIndex:   p.documentIndex,
		ObserveDocument: func(index uint64) { p.heard("", index) },
		System:          p.System,
		Log:             p.Log,
	})
	if err != nil {
		return err
	}
	p.members.Store(svc)
	return nil
}

func seeds(s settings.Settings) []string {
	var out []string
	for _, c := range s.Control {
		if c.Name != s.Name {
			out = append(out, c.Gossip)
		}
	}
	return out
}

func (p *Process) self() *fleetpb.Member {
	s := p.cfg.Settings
	m := &fleetpb.Member{
		Name:        s.Name,
		Role:        string(p.cfg.Role),
		Zone:        s.Zone,
		Link:        s.Listen.Link,
		Http:        s.Listen.HTTP,
		Incarnation: p.Incarnation,
	}
	if p.cfg.Describe != nil {
		p.cfg.Describe(m)
	}
	return m
}

// Describe tells the others that the process's own record has changed.
func (p *Process) Describe() {
	if svc := p.members.Load(); svc != nil {
		svc.UpdateSelf(p.self())
	}
}

// Leave tells the others that the process takes no new work.
func (p *Process) Leave() {
	if svc := p.members.Load(); svc != nil {
		svc.Leave()
	}
}

// Members returns the known processes.
func (p *Process) Members() []*fleetpb.Member {
	if svc := p.members.Load(); svc != nil {
		return svc.Members()
	}
	return nil
}

// Synced reports whether the process has learned who else is there.
func (p *Process) Synced() bool {
	svc := p.members.Load()
	return svc != nil && svc.Synced()
}

func (p *Process) memberChanged(changed []*fleetpb.Member) {
	p.mu.Lock()
	for _, m := range changed {
		if have := p.places[m.Name]; have == nil || m.Incarnation >= have.Incarnation {
			p.places[m.Name] = m
		}
	}
	p.mu.Unlock()
	for _, m := range changed {
		p.Timeline.Add("member", "", fmt.Sprintf("%s %s incarnation %d", m.Name, m.State, m.Incarnation))
	}
	if p.cfg.MembersChanged != nil {
		if members := p.Members(); members != nil {
			p.cfg.MembersChanged(members)
		}
	}
}

// Find returns the last known record of a process.
func (p *Process) Find(name string) (*fleetpb.Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.places[name]
	return m, ok
}

// Count returns the number of living processes of a role, this one included.
func (p *Process) Count(role settings.Role) int {
	n := 0
	for _, m := range p.Members() {
		if m.Role == string(role) && m.State == fleetpb.MemberState_MEMBER_STATE_ALIVE {
			n++
		}
	}
	return n
}

func (p *Process) held() *control.Held {
	if p.cfg.Document != nil {
		return p.cfg.Document()
	}
	if p.Follower != nil {
		return p.Follower.Held()
	}
	return &control.Held{}
}

func (p *Process) documentIndex() uint64 {
	if h := p.held(); h != nil {
		return h.Index
	}
	return 0
}

func (p *Process) heard(_ string, index uint64) {
	if p.Follower != nil {
		p.Follower.Heard(index)
	}
}

func (p *Process) documentChanged(h *control.Held) {
	p.Timeline.Add("document", "", fmt.Sprintf("in force: %d", h.Index))
	if p.cfg.DocumentChanged != nil {
		p.cfg.DocumentChanged(h)
	}
}

// relays returns the entries that an agent asks for the document in place of
// control: those of its own zone, in an order that differs from agent to
// agent but stays the same for one, so that it keeps few sessions.
func (p *Process) relays() []string {
	if p.cfg.Role != settings.RoleAgent {
		return nil
	}
	var out []string
	for _, m := range p.Members() {
		if m.Role == string(settings.RoleEntry) && m.Zone == p.cfg.Settings.Zone && m.State == fleetpb.MemberState_MEMBER_STATE_ALIVE {
			out = append(out, m.Link)
		}
	}
	start := int(p.Incarnation % uint64(max(1, len(out))))
	return append(out[start:], out[:start]...)
}

// Close ends membership, links and actors, and waits for them.
func (p *Process) Close() error {
	var errs []error
	if svc := p.members.Swap(nil); svc != nil {
		errs = append(errs, svc.Close())
	}
	if p.Server != nil {
		errs = append(errs, p.Server.Close())
	}
	if p.Follower != nil {
		errs = append(errs, p.Follower.Close())
	}
	if p.Pool != nil {
		errs = append(errs, p.Pool.Close())
	}
	p.System.Shutdown()
	return errors.Join(errs...)
}

// handle serves what every process serves, and passes on the rest.
func (p *Process) handle(ctx context.Context, st *link.Stream, first *fleetpb.Envelope) {
	switch body := first.Body.(type) {
	case *fleetpb.Envelope_EventsRequest:
		events := p.Timeline.Events(body.EventsRequest.Request, int(body.EventsRequest.Limit))
		p.reply(st, &fleetpb.Envelope{Body: &fleetpb.Envelope_EventsReply{EventsReply: &fleetpb.EventsReply{Events: events}}})
	case *fleetpb.Envelope_DrainRequest:
		if p.cfg.Drain != nil {
			p.cfg.Drain()
		}
		p.reply(st, &fleetpb.Envelope{Body: &fleetpb.Envelope_ReadReply{ReadReply: &fleetpb.ReadReply{Status: p.Status()}}})
	case *fleetpb.Envelope_Read:
		p.read(ctx, st, first)
	default:
		p.cfg.Handle(ctx, st, first)
	}
}

// read answers status and unconfirmed reads of the document.
func (p *Process) read(ctx context.Context, st *link.Stream, first *fleetpb.Envelope) {
	r := first.GetRead()
	switch {
	case r.Status:
		p.reply(st, &fleetpb.Envelope{Body: &fleetpb.Envelope_ReadReply{ReadReply: &fleetpb.ReadReply{Status: p.Status()}}})
	case r.Document && !r.Linear && p.Follower != nil:
		p.reply(st, &fleetpb.Envelope{Body: &fleetpb.Envelope_ReadReply{ReadReply: p.Follower.Answer(r)}})
	default:
		p.cfg.Handle(ctx, st, first)
	}
}

func (p *Process) reply(st *link.Stream, e *fleetpb.Envelope) {
	if err := st.Send(e); err != nil {
		p.Log.Debug("answer not delivered", zap.Error(err))
	}
}

// Status returns what the process says of itself.
func (p *Process) Status() *fleetpb.Status {
	held := p.held()
	s := &fleetpb.Status{
		Name:        p.cfg.Settings.Name,
		Role:        string(p.cfg.Role),
		Zone:        p.cfg.Settings.Zone,
		Document:    held.Index,
		Fresh:       held.Fresh(time.Now()),
		Members:     p.Members(),
		Incarnation: p.Incarnation,
	}
	if p.cfg.Status != nil {
		p.cfg.Status(s)
	}
	return s
}
