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
	"hawthornhub.example/hawthornhub/internal/state/evacuation"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// Config configures a Process.
type Config struct {
	Settings settings.Settings
	Role     settings.Role
	Log      *zap.Logger
	// Handle serves the streams that Process does not handle itself.
	Handle link.Handler
	// Document returns the current document, for a role that stores it itself; if
	// nil, the Process follows the control instances.
	Document func() *control.LeasedDocument
	// FillStatus adds the role's fields to a status; nil adds none.
	FillStatus func(*fleetpb.Status)
	// OnDocumentChange is called with each new document; nil ignores them.
	OnDocumentChange func(*control.LeasedDocument)
	// OnEvacuations is called with the evacuated availability zones after each change; nil
	// ignores them.
	OnEvacuations func(*statepb.Evacuations)
	// OnMembersChange is called with all known processes after each membership
	// change; nil ignores them.
	OnMembersChange func([]*fleetpb.Member)
	// FillPong adds the role's fields to a heartbeat reply; nil adds none.
	FillPong func(*fleetpb.Pong)
	// OnPong is called with each reply to a heartbeat of this process; nil ignores
	// them.
	OnPong func(address string, pong *fleetpb.Pong)
	// Drain is called on a drain request; nil ignores the request.
	Drain func()
	// FillMember adds the role's fields to this process's membership record; nil
	// adds none.
	FillMember func(*fleetpb.Member)
}

// evacuationTimeout bounds the fetch of evacuated zones for a read of the status. It is below
// the time for which operators' requests wait for a process.
const evacuationTimeout = 900 * time.Millisecond

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
	// lastKnown is the latest record of each process, by name. It keeps processes
	// that the membership has removed.
	lastKnown map[string]*fleetpb.Member
}

// Start starts everything except the membership, which Join starts once the role
// is ready to be discovered.
func Start(cfg Config) (*Process, error) {
	s := cfg.Settings
	p := &Process{
		cfg:         cfg,
		Incarnation: uint64(time.Now().UnixNano()),
		Log:         cfg.Log,
		lastKnown:   make(map[string]*fleetpb.Member),
	}
	p.System = NewActorSystem(cfg.Log)
	p.Timeline = timeline.NewRecorder(timeline.Config{Process: s.Name, Log: cfg.Log})
	auth, err := p.auth()
	if err != nil {
		return nil, err
	}
	local := link.Local{Name: s.Name, Clock: p.Timeline.Clock(), DocumentIndex: p.documentIndex, ObserveDocument: p.observeDocument}
	p.Pool = link.NewPool(link.PoolConfig{Local: local, Auth: auth, OnPong: cfg.OnPong, Log: cfg.Log})
	p.Client = control.NewClient(control.ClientConfig{Pool: p.Pool, Peers: ControlAddresses(s)})
	if cfg.Document == nil {
		p.Follower = control.NewFollower(control.FollowerConfig{
			Pool:     p.Pool,
			Sources:  p.documentSources,
			Peers:    ControlAddresses(s),
			OnChange: p.documentChanged,

			OnEvacuations: p.evacuationsChanged,
			Log:           cfg.Log,
		})
	}
	p.Server, err = link.Listen(link.ServerConfig{
		Address:  s.Listen.Link,
		Local:    local,
		Auth:     auth,
		Handle:   p.handle,
		FillPong: cfg.FillPong,
		Log:      cfg.Log,
	})
	if err != nil {
		return nil, errors.Join(err, p.Close())
	}
	return p, nil
}

// NewActorSystem returns an actor system that logs to the given logger.
func NewActorSystem(log *zap.Logger) *actor.ActorSystem {
	return actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(zapslog.NewHandler(log.Core(), zapslog.WithName("actor")))
	}))
}

// ControlAddresses returns the addresses of the control instances in the settings.
func ControlAddresses(s settings.Settings) []control.Address {
	var addresses []control.Address
	for _, c := range s.Control {
		addresses = append(addresses, control.Address{Name: c.Name, Link: c.Link})
	}
	return addresses
}

// auth loads the fleet key and, if TLS is enabled, the certificates.
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

// ReloadCertificates reads the TLS files again. It does nothing if TLS is
// disabled.
func (p *Process) ReloadCertificates() error {
	if p.certs == nil {
		return nil
	}
	return p.certs.Reload()
}

// Join starts the membership, by which other processes discover this one.
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
		OnChange:        p.membersChanged,
		DocumentIndex:   p.documentIndex,
		ObserveDocument: func(index uint64) { p.observeDocument("", index) },
		System:          p.System,
		Log:             p.Log,
	})
	if err != nil {
		return err
	}
	p.members.Store(svc)
	return nil
}

// seeds returns the gossip addresses of the other control instances.
func seeds(s settings.Settings) []string {
	var out []string
	for _, c := range s.Control {
		if c.Name != s.Name {
			out = append(out, c.Gossip)
		}
	}
	return out
}

// self returns this process's membership record.
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
	if p.cfg.FillMember != nil {
		p.cfg.FillMember(m)
	}
	return m
}

// UpdateSelf rebuilds this process's membership record and announces a change of
// it.
func (p *Process) UpdateSelf() {
	if svc := p.members.Load(); svc != nil {
		svc.UpdateSelf(p.self())
	}
}

// Leave announces that the process takes no new work.
func (p *Process) Leave() {
	if svc := p.members.Load(); svc != nil {
		svc.Leave()
	}
}

// Members returns the known processes, including this one; nil before Join.
func (p *Process) Members() []*fleetpb.Member {
	if svc := p.members.Load(); svc != nil {
		return svc.Members()
	}
	return nil
}

// Synced reports whether this process's member list has ever equalled another's.
func (p *Process) Synced() bool {
	svc := p.members.Load()
	return svc != nil && svc.Synced()
}

func (p *Process) membersChanged(changed []*fleetpb.Member) {
	p.mu.Lock()
	for _, m := range changed {
		if known := p.lastKnown[m.Name]; known == nil || m.Incarnation >= known.Incarnation {
			p.lastKnown[m.Name] = m
		}
	}
	p.mu.Unlock()
	for _, m := range changed {
		p.Timeline.Add("member", "", fmt.Sprintf("%s %s incarnation %d", m.Name, m.State, m.Incarnation))
	}
	if p.cfg.OnMembersChange != nil {
		if members := p.Members(); members != nil {
			p.cfg.OnMembersChange(members)
		}
	}
}

// FindMember returns the last known record of another process, also after the
// membership has removed it.
func (p *Process) FindMember(name string) (*fleetpb.Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.lastKnown[name]
	return m, ok
}

// CountAlive returns the number of alive processes of a role, including this one.
func (p *Process) CountAlive(role settings.Role) int {
	n := 0
	for _, m := range p.Members() {
		if m.Role == string(role) && m.State == fleetpb.MemberState_MEMBER_STATE_ALIVE {
			n++
		}
	}
	return n
}

// document returns the document that this process applies.
func (p *Process) document() *control.LeasedDocument {
	if p.cfg.Document != nil {
		return p.cfg.Document()
	}
	if p.Follower != nil {
		return p.Follower.Document()
	}
	return &control.LeasedDocument{}
}

func (p *Process) documentIndex() uint64 {
	if d := p.document(); d != nil {
		return d.Index
	}
	return 0
}

// observeDocument passes a document index received from another process to the
// Follower.
func (p *Process) observeDocument(_ string, index uint64) {
	if p.Follower != nil {
		p.Follower.ObserveDocument(index)
	}
}

func (p *Process) documentChanged(d *control.LeasedDocument) {
	p.Timeline.Add("document", "", fmt.Sprintf("in force: %d", d.Index))
	if p.cfg.OnDocumentChange != nil {
		p.cfg.OnDocumentChange(d)
	}
}

func (p *Process) evacuationsChanged(e *statepb.Evacuations) {
	zones := evacuation.Zones(e)
	p.Timeline.Add("evacuate", "", fmt.Sprintf("zones %v evacuated at index %d", zones, e.GetIndex()))
	p.Log.Info("evacuated zones in force", zap.Strings("zones", zones), zap.Uint64("index", e.GetIndex()))
	if p.cfg.OnEvacuations != nil {
		p.cfg.OnEvacuations(e)
	}
}

// documentSources returns the link addresses of the entries that an agent asks
// for the document before it asks a control instance: those in its own zone. The
// start of the list depends on the incarnation, which spreads agents over the
// entries, while each agent keeps its order and so needs few sessions.
func (p *Process) documentSources() []string {
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

// Close stops the membership, the links and the actors, and waits for them.
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

// handle serves the requests that every process answers, and passes the others to
// Config.Handle.
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

// read answers status reads and, where this process follows the document, reads
// of it that need not be linearizable. It passes other reads to Config.Handle.
func (p *Process) read(ctx context.Context, st *link.Stream, first *fleetpb.Envelope) {
	r := first.GetRead()
	switch {
	case r.Status:
		if r.Evacuations && p.Follower != nil {
			fetchCtx, cancel := context.WithTimeout(ctx, evacuationTimeout)
			p.Follower.AwaitEvacuations(fetchCtx, r.AtLeast)
			cancel()
		}
		p.reply(st, &fleetpb.Envelope{Body: &fleetpb.Envelope_ReadReply{ReadReply: &fleetpb.ReadReply{Status: p.Status()}}})
	case r.Document && !r.Linear && p.Follower != nil:
		p.reply(st, &fleetpb.Envelope{Body: &fleetpb.Envelope_ReadReply{ReadReply: p.Follower.HandleRead(r)}})
	default:
		p.cfg.Handle(ctx, st, first)
	}
}

func (p *Process) reply(st *link.Stream, e *fleetpb.Envelope) {
	if err := st.Send(e); err != nil {
		p.Log.Debug("send reply failed", zap.Error(err))
	}
}

// Status returns the status of this process.
func (p *Process) Status() *fleetpb.Status {
	document := p.document()
	s := &fleetpb.Status{
		Name:        p.cfg.Settings.Name,
		Role:        string(p.cfg.Role),
		Zone:        p.cfg.Settings.Zone,
		Document:    document.Index,
		Fresh:       document.Fresh(time.Now()),
		Members:     p.Members(),
		Incarnation: p.Incarnation,

		EvacuationIndex: document.Evacuations.GetIndex(),
	}
	if p.cfg.FillStatus != nil {
		p.cfg.FillStatus(s)
	}
	return s
}
