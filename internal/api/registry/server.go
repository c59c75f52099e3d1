package registry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/fleet/replica"
	"hawthornhub.example/hawthornhub/internal/fleet/watch"
	"hawthornhub.example/hawthornhub/internal/state/fsm"
	"hawthornhub.example/hawthornhub/internal/state/raft"
	"hawthornhub.example/hawthornhub/internal/state/site"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

const (
	// answerWithin bounds an answer: callers ask elsewhere after a second.
	answerWithin = 900 * time.Millisecond
	// adoptWithin bounds the adoption of a document.
	adoptWithin = 2500 * time.Millisecond
	// spreadWithin bounds the wait for the entries to learn of a change.
	spreadWithin = 600 * time.Millisecond
	// retryEvery is the wait between questions while there is no leader.
	retryEvery = 40 * time.Millisecond
	// lonelyAfter is the time without any watcher from which upstreams are sent
	// elsewhere.
	lonelyAfter = 5 * time.Second
)

// Config builds a Server.
type Config struct {
	Hub     *watch.Hub
	Replica *replica.Replica
	Pool    *link.Pool
	// Decode reads a site document; what it says is checked here.
	Decode func(text []byte) (*site.Document, error)
	Log    *zap.Logger
}

// Server is the registry of one control instance. It is safe for concurrent
// use.
type Server struct {
	cfg     Config
	started time.Time
}

// New returns a Server.
func New(cfg Config) *Server { return &Server{cfg: cfg, started: time.Now()} }

// InvalidError refuses a document.
type InvalidError struct{ Err error }

// Error names the remedy.
func (e *InvalidError) Error() string { return e.Err.Error() }

// Unwrap returns the faults.
func (e *InvalidError) Unwrap() error { return e.Err }

// LonelyError refuses an announcement on an instance that no process follows.
type LonelyError struct{}

// Error names the remedy.
func (*LonelyError) Error() string {
	return "no entry is connected to this instance; announce to another"
}

// Announce takes an upstream's word. A word that stops calls is accepted once
// the entries know of it.
func (s *Server) Announce(ctx context.Context, u catalog.Upstream) error {
	if s.cfg.Hub.Watchers() == 0 && time.Since(s.started) > lonelyAfter {
		return &LonelyError{}
	}
	ctx, cancel := context.WithTimeout(ctx, spreadWithin)
	defer cancel()
	outcome := s.cfg.Hub.Announce(ctx, u)
	if outcome != catalog.Refreshed {
		s.cfg.Log.Info("upstream announced itself",
			zap.String("upstream", u.ID), zap.String("service", u.Service), zap.String("address", u.Address),
			zap.Stringer("state", u.State), zap.Int64("born", u.Born), zap.Uint64("seq", u.Seq), zap.Stringer("outcome", outcome))
	}
	return nil
}

// Adopt commits a document if its version is higher than the one that stands;
// a lower or equal one is accepted and changes nothing. The error is an
// *InvalidError where the document is at fault.
func (s *Server) Adopt(ctx context.Context, text []byte) error {
	d, err := s.cfg.Decode(text)
	if err == nil {
		err = d.Validate()
	}
	if err != nil {
		s.cfg.Log.Info("site document refused", zap.Int("bytes", len(text)), zap.Error(err))
		return &InvalidError{Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, adoptWithin)
	defer cancel()
	began := time.Now()
	result, err := s.propose(ctx, &statepb.Command{Body: &statepb.Command_Adopt{Adopt: &statepb.Adopt{Version: d.Version, Text: text}}})
	if err != nil {
		s.cfg.Log.Warn("site document not committed", zap.Uint64("version", d.Version), zap.Error(err))
		return err
	}
	s.cfg.Log.Info("site document accepted", zap.Uint64("version", d.Version), zap.Uint64("stands", result.GetVersion()),
		zap.Uint64("index", result.GetIndex()), zap.Duration("took", time.Since(began)))
	return nil
}

// NoDocumentError says that no document has been accepted yet.
type NoDocumentError struct{}

// Error names the remedy.
func (*NoDocumentError) Error() string { return "no configuration yet; send one" }

// Adopted returns the document that stands, byte for byte as it was sent.
func (s *Server) Adopted(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	a, err := s.read(ctx)
	if err != nil {
		s.cfg.Log.Warn("site document not confirmed", zap.Error(err))
		return nil, err
	}
	if a == nil {
		return nil, &NoDocumentError{}
	}
	return a.Text, nil
}

// UnavailableError says that no quorum answered in time.
type UnavailableError struct{ Err error }

// Error names the remedy.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("no quorum answered in time (%v); ask again, here or elsewhere", e.Err)
}

// Unwrap returns the last cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

func (s *Server) propose(ctx context.Context, c *statepb.Command) (*statepb.Result, error) {
	var result *statepb.Result
	err := s.atLeader(ctx, func(ctx context.Context) (err error) {
		result, err = s.cfg.Replica.Propose(ctx, c)
		return err
	}, func(ctx context.Context, address string) error {
		e, err := s.cfg.Pool.Ask(ctx, address, &fleetpb.Envelope{Body: &fleetpb.Envelope_Propose{Propose: &fleetpb.Propose{Command: c}}})
		result = e.GetResult()
		return err
	})
	return result, err
}

func (s *Server) read(ctx context.Context) (*statepb.Adopted, error) {
	var adopted *statepb.Adopted
	err := s.atLeader(ctx, func(ctx context.Context) error {
		return s.cfg.Replica.Read(ctx, func(m *fsm.Machine) { adopted = m.Adopted() })
	}, func(ctx context.Context, address string) error {
		e, err := s.cfg.Pool.Ask(ctx, address, &fleetpb.Envelope{Body: &fleetpb.Envelope_Read{Read: &fleetpb.Read{Linear: true, Adopted: true}}})
		adopted = e.GetReadReply().GetAdopted()
		return err
	})
	return adopted, err
}

// errNoLeader says that this instance knows of no leader.
var errNoLeader = errors.New("no leader is known")

// atLeader calls here where this instance leads, else at the leader, until one
// succeeds or ctx ends.
func (s *Server) atLeader(ctx context.Context, here func(context.Context) error, there func(context.Context, string) error) error {
	for {
		last := errNoLeader
		view := s.cfg.Replica.View()
		switch {
		case view.Role == raft.Leader:
			last = here(ctx)
		case view.LeaderName != "":
			attempt, cancel := context.WithTimeout(ctx, answerWithin)
			last = there(attempt, view.LeaderName)
			cancel()
		}
		if last == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return &UnavailableError{Err: last}
		case <-time.After(retryEvery):
		}
	}
}
