package registry

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/fleet/replica"
	"hawthornhub.example/hawthornhub/internal/fleet/watch"
	"hawthornhub.example/hawthornhub/internal/state/fsm"
	"hawthornhub.example/hawthornhub/internal/state/raft"
	"hawthornhub.example/hawthornhub/internal/state/site"
	"hawthornhub.example/hawthornhub/internal/state/starts"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

const (
	// requestTimeout limits a read, and each call to a leader on another
	// instance. It is below 1 s because callers try another instance then.
	requestTimeout = 900 * time.Millisecond
	// commitTimeout limits the commit of a document, with retries.
	commitTimeout = 2500 * time.Millisecond
	// propagationTimeout limits the wait for the watchers to learn of a change.
	// Watchers are the processes, such as entries, to which the Hub sends
	// changes.
	propagationTimeout = 600 * time.Millisecond
	// documentTimeout limits the wait for the entries to put a committed document in
	// force.
	documentTimeout = 2 * time.Second
	// retryInterval is the wait between two tries to reach the leader.
	retryInterval = 40 * time.Millisecond
	// watcherGracePeriod is the time after the start during which announcements
	// are accepted although no watcher is connected.
	watcherGracePeriod = 5 * time.Second
)

// Config configures a Server.
type Config struct {
	Hub     *watch.Hub
	Replica *replica.Replica
	Pool    *link.Pool
	// Decode parses a site document. The Server validates it.
	Decode func(text []byte) (*site.Document, error)
	// DecodeStored parses a committed document, which an earlier version of the program may
	// have accepted by other rules.
	DecodeStored func(text []byte) (*site.Document, error)
	// Entries returns the names of the entries that any control instance lists; nil
	// stands for none.
	Entries func() []string
	// Now is a clock that also counts while the machine is suspended; nil uses the
	// system's.
	Now func() time.Duration
	Log *zap.Logger
}

// Server is the registry of one control instance. It is safe for concurrent
// use.
type Server struct {
	cfg     Config
	started time.Time
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	// refused counts the announcements that were not heeded.
	refused atomic.Uint64
	// mu guards what follows.
	mu sync.Mutex
	// currency is that of the evacuated zones and the ended starts.
	currency  currency
	retention retention
	// forgotAt is when this instance last looked for ends that the log may forget.
	forgotAt time.Duration
}

// New returns a Server.
func New(cfg Config) *Server {
	if cfg.Now == nil {
		cfg.Now = watch.BootTime
	}
	s := &Server{cfg: cfg, started: time.Now()}
	s.currency.lapsed, s.forgotAt = cfg.Now(), cfg.Now()
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.wg.Add(1)
	go s.confirmLoop()
	return s
}

// InvalidDocumentError reports that a document cannot be parsed or is invalid.
type InvalidDocumentError struct{ Err error }

// Error implements error.
func (e *InvalidDocumentError) Error() string { return e.Err.Error() }

// Unwrap returns the error of Decode or of the validation.
func (e *InvalidDocumentError) Unwrap() error { return e.Err }

// NoEntriesError reports that a change is not acknowledged because no entry watches this
// instance, so that none would learn of it.
type NoEntriesError struct{}

// Error implements error.
func (*NoEntriesError) Error() string {
	return "no entry is connected to this instance; send it to another"
}

// NotToldError reports that not every watcher knows yet that an upstream takes no
// calls any more.
type NotToldError struct {
	Upstream string
	// Lacking are the names of the watchers that do not know.
	Lacking []string
}

// Error implements error.
func (e *NotToldError) Error() string {
	return fmt.Sprintf("%s do not know yet that upstream %s takes no calls; announce it again", strings.Join(e.Lacking, ", "), e.Upstream)
}

// Announce records the state that an upstream reports of itself. If it changes
// anything, Announce returns once the watchers know of it, or after
// propagationTimeout. If the upstream takes no calls any more, that is committed to the
// log first, and the error is a *NotToldError if not all watchers know of it: calls may
// still be sent to it. An announcement that the watchers cannot be told of is rejected with
// a *catalog.InvalidUpstreamError. No announcement is acknowledged that is not heeded:
// there is an error if it is late, if it is not certain which start it is of, or if this
// instance cannot know yet whether that start has ended.
func (s *Server) Announce(ctx context.Context, u catalog.Upstream) error {
	if err := u.Validate(); err != nil {
		s.cfg.Log.Info("rejected invalid announcement", zap.String("upstream", u.ID), zap.String("service", u.Service), zap.Error(err))
		return err
	}
	if !s.reachesEntries() {
		return &NoEntriesError{}
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	u, err := s.admit(ctx, u)
	if err == nil && u.State != catalog.Ready {
		err = s.recordEnd(ctx, u)
	}
	if err == nil {
		err = s.tell(ctx, u)
	}
	if err != nil {
		s.refused.Add(1)
		s.cfg.Log.Info("announcement not acknowledged", zap.String("upstream", u.ID), zap.String("service", u.Service),
			zap.Stringer("state", u.State), zap.Int64("born", u.StartTimeMs), zap.Uint64("seq", u.Seq), zap.Error(err))
	}
	return err
}

// Refused returns the number of announcements that were valid and not acknowledged.
func (s *Server) Refused() uint64 { return s.refused.Load() }

// tell applies an announcement and tells the watchers.
func (s *Server) tell(ctx context.Context, u catalog.Upstream) error {
	ctx, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	outcome, untold := s.cfg.Hub.Announce(ctx, u)
	if outcome != catalog.Refreshed {
		s.cfg.Log.Info("upstream announced itself",
			zap.String("upstream", u.ID), zap.String("service", u.Service), zap.String("address", u.Address),
			zap.Stringer("state", u.State), zap.Int64("born", u.StartTimeMs), zap.Uint64("seq", u.Seq), zap.Stringer("outcome", outcome),
			zap.Duration("cold", max(0, time.Until(u.ColdUntil))))
	}
	if u.State != catalog.Ready && !s.cfg.Hub.Upstreams().Heeds(u) {
		// The log may tell of the committed end later.
		s.cfg.Hub.NoteEnded(u.ID, starts.Ended{}.WithEnd(u.StartTimeMs))
	}
	if !s.cfg.Hub.Upstreams().Heeds(u) {
		return &EndedStartError{Upstream: u.ID, BornMs: u.StartTimeMs}
	}
	if len(untold) == 0 {
		return nil
	}
	s.cfg.Log.Warn("not all watchers know of an announcement yet",
		zap.String("upstream", u.ID), zap.Stringer("state", u.State), zap.Strings("lacking", untold))
	if u.State == catalog.Ready {
		return nil
	}
	return &NotToldError{Upstream: u.ID, Lacking: untold}
}

// reachesEntries reports whether entries watch this instance, or may not have found it yet
// after its start.
func (s *Server) reachesEntries() bool {
	return s.cfg.Hub.EntryCount() > 0 || time.Since(s.started) <= watcherGracePeriod
}

// NotInForceError reports that a document is committed and not yet in force at every
// entry.
type NotInForceError struct {
	Version uint64
	// Lacking are the names of the entries that have an older version in force.
	Lacking []string
}

// Error implements error.
func (e *NotInForceError) Error() string {
	return fmt.Sprintf("version %d is committed, but %s still have an older one in force; send it again", e.Version, strings.Join(e.Lacking, ", "))
}

// PutDocument commits a document if its version is higher than that of the
// current one, and returns once it or a newer one is in force at the entries that are
// connected. A lower or equal version is accepted and changes nothing. The error is an
// *InvalidDocumentError if the document is invalid, a *NotInForceError if some entries
// take longer than documentTimeout, and a *NoEntriesError if none is connected.
func (s *Server) PutDocument(ctx context.Context, text []byte) error {
	d, err := s.admitDocument(ctx, text)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	start := time.Now()
	adopt := site.NewAdopt(d.Version, text)
	result, err := s.propose(ctx, func() *statepb.Command { return &statepb.Command{Body: &statepb.Command_Adopt{Adopt: adopt}} })
	if err != nil {
		s.cfg.Log.Warn("could not commit site document", zap.Uint64("version", d.Version), zap.Error(err))
		return err
	}
	committed := time.Since(start)
	err = s.waitInForce(d.Version)
	s.cfg.Log.Info("site document accepted", zap.Uint64("version", d.Version), zap.Uint64("stands", result.GetVersion()),
		zap.Uint64("index", result.GetIndex()), zap.Duration("committed", committed), zap.Duration("took", time.Since(start)), zap.Error(err))
	return err
}

// waitInForce waits until a version of the document is in force at the entries. The
// wait goes on when the operator has given up, so that the log tells how long it took.
func (s *Server) waitInForce(version uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), documentTimeout)
	defer cancel()
	if lacking := s.cfg.Hub.WaitDocument(ctx, version); len(lacking) > 0 {
		return &NotInForceError{Version: version, Lacking: lacking}
	}
	if !s.reachesEntries() {
		return &NoEntriesError{}
	}
	return nil
}

// NoDocumentError reports that no document has been committed yet.
type NoDocumentError struct{}

// Error implements error.
func (*NoDocumentError) Error() string { return "no configuration yet; send one" }

// Document returns the current document, byte for byte as it was sent.
func (s *Server) Document(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	a, err := s.read(ctx)
	if err != nil {
		s.cfg.Log.Warn("could not read site document with a quorum", zap.Error(err))
		return nil, err
	}
	if a == nil {
		return nil, &NoDocumentError{}
	}
	return site.Text(a)
}

// UnavailableError reports that no quorum answered in time.
type UnavailableError struct{ Err error }

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("no quorum answered in time (%v); ask again, here or elsewhere", e.Err)
}

// Unwrap returns the error of the last try.
func (e *UnavailableError) Unwrap() error { return e.Err }

// propose commits a command through the leader. Each try needs its own command, as the
// leader numbers the one that it is given.
func (s *Server) propose(ctx context.Context, command func() *statepb.Command) (*statepb.Result, error) {
	var result *statepb.Result
	err := s.callLeader(ctx, func(ctx context.Context) (err error) {
		result, err = s.cfg.Replica.Propose(ctx, command())
		return err
	}, func(ctx context.Context, address string) error {
		e, err := s.cfg.Pool.RoundTrip(ctx, address, &fleetpb.Envelope{Body: &fleetpb.Envelope_Propose{Propose: &fleetpb.Propose{Command: command()}}})
		result = e.GetResult()
		return err
	})
	return result, err
}

// read returns the current document through a linearizable read, nil if there is
// none.
func (s *Server) read(ctx context.Context) (*statepb.Adopted, error) {
	var adopted *statepb.Adopted
	err := s.callLeader(ctx, func(ctx context.Context) error {
		return s.cfg.Replica.Read(ctx, func(m *fsm.Machine) { adopted = m.SiteDocument() })
	}, func(ctx context.Context, address string) error {
		e, err := s.cfg.Pool.RoundTrip(ctx, address, &fleetpb.Envelope{Body: &fleetpb.Envelope_Read{Read: &fleetpb.Read{Linear: true, Adopted: true}}})
		adopted = e.GetReadReply().GetAdopted()
		return err
	})
	return adopted, err
}

// errNoLeader reports that this instance does not know the leader.
var errNoLeader = errors.New("no leader is known")

// callLeader calls local if this instance is the leader, else remote with the
// address of the leader, until a call succeeds or ctx ends.
func (s *Server) callLeader(ctx context.Context, local func(context.Context) error, remote func(context.Context, string) error) error {
	for {
		last := errNoLeader
		status := s.cfg.Replica.Status()
		switch {
		case status.Role == raft.Leader:
			last = local(ctx)
		case status.LeaderName != "":
			callCtx, cancel := context.WithTimeout(ctx, requestTimeout)
			last = remote(callCtx, status.LeaderName)
			cancel()
		}
		if last == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return &UnavailableError{Err: last}
		case <-time.After(retryInterval):
		}
	}
}
