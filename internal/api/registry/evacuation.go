package registry

import (
	"context"
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/state/evacuation"
	"hawthornhub.example/hawthornhub/internal/state/fsm"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

const (
	// orderLifetime is the time from the arrival of an order within which it may be
	// proposed. An operator who got no answer by then may have sent a later order.
	orderLifetime = 2500 * time.Millisecond
	// settleTime is the time from the arrival of an order to its proposal. A request that was
	// held up by a cut link arrives before the end of the connection that its caller has closed
	// meanwhile, by a round trip.
	settleTime = 50 * time.Millisecond
	// rebaseLifetime is the time from the arrival of an order within which it may be
	// proposed again after a change that this instance had not seen when it arrived. The
	// instance learns of a change up to two heartbeats of the log late; nobody gives up
	// on an order and gets a later one acknowledged in that time.
	rebaseLifetime = 300 * time.Millisecond
	// actTimeout limits the wait for the entries to act on a committed order.
	actTimeout = 2 * time.Second
	// joinPeriod is the time after the start in which the entries find this instance. An
	// order is not acknowledged earlier: entries that it does not know may act on an older
	// state.
	joinPeriod = 2 * time.Second
	// connectTimeout limits the wait for entries that other control instances list and that
	// are not connected here, such as after this instance was cut off. They learn of the
	// order from the others, but this instance is not told when they act on it.
	connectTimeout = 600 * time.Millisecond
	// connectPollInterval is the time between two looks for them.
	connectPollInterval = 20 * time.Millisecond
	// confirmInterval is the time between two looks whether this instance follows a
	// leader.
	confirmInterval = 100 * time.Millisecond
)

// UnknownZoneError reports an order for an availability zone that nothing names.
type UnknownZoneError struct{ Zone string }

// Error implements error.
func (e *UnknownZoneError) Error() string {
	return fmt.Sprintf("no upstream, entry or setting names the zone %q; check the name", e.Zone)
}

// ZoneNotYetKnownError reports an order for a zone that this instance may not have learnt
// of yet since its start.
type ZoneNotYetKnownError struct{ Zone string }

// Error implements error.
func (e *ZoneNotYetKnownError) Error() string {
	return fmt.Sprintf("this instance has just started and does not know the zone %q yet; send the order again", e.Zone)
}

// OrderExpiredError reports an order that was not proposed in time, or whose caller has
// gone. It may be older than one that was acknowledged.
type OrderExpiredError struct{ Age time.Duration }

// Error implements error.
func (e *OrderExpiredError) Error() string {
	return fmt.Sprintf("the order could not be proposed within %v of its arrival; send it again", e.Age.Round(time.Millisecond))
}

// RejectedError reports an order that the replicated state rejects.
type RejectedError struct{ Detail, Remedy string }

// Error implements error.
func (e *RejectedError) Error() string {
	if e.Remedy == "" {
		return e.Detail
	}
	return e.Detail + "; " + e.Remedy
}

// NotActedOnError reports that an order is committed and not every entry acts on it yet.
type NotActedOnError struct {
	Zone string
	// Lacking are the names of the entries that do not act on it.
	Lacking []string
}

// Error implements error.
func (e *NotActedOnError) Error() string {
	return fmt.Sprintf("the order for zone %s is committed, but %s do not act on it yet; send it again", e.Zone, strings.Join(e.Lacking, ", "))
}

// order is an operator's order for an availability zone. arrived is when it arrived, by
// Config.Now.
type order struct {
	zone    string
	revoke  bool
	arrived time.Duration
}

// fields returns the log fields that describe the order, followed by more.
func (o order) fields(more ...zap.Field) []zap.Field {
	return append([]zap.Field{zap.String("zone", o.zone), zap.Bool("revoke", o.revoke)}, more...)
}

// Evacuate commits the order that nothing more is sent to the upstreams of an availability
// zone, and returns once the entries that are connected act on it. An order that asks for
// the present state changes nothing and is acknowledged in the same way. The error is an
// *evacuation.InvalidZoneError or an *UnknownZoneError if the order can never be accepted;
// after any other error it may be sent again.
func (s *Server) Evacuate(ctx context.Context, zone string) error {
	return s.execute(ctx, order{zone: zone, arrived: s.cfg.Now()})
}

// Restore revokes the evacuation of an availability zone, in the same way.
func (s *Server) Restore(ctx context.Context, zone string) error {
	return s.execute(ctx, order{zone: zone, revoke: true, arrived: s.cfg.Now()})
}

func (s *Server) execute(ctx context.Context, o order) error {
	seen := evacuation.Seen(s.cfg.Hub.Evacuations(), o.zone)
	if err := s.checkZone(o.zone); err != nil {
		s.cfg.Log.Info("order for a zone refused", o.fields(zap.Error(err))...)
		return err
	}
	if !s.reachesEntries() {
		return &NoEntriesError{}
	}
	time.Sleep(settleTime)
	result, err := s.proposeOrder(ctx, o, seen)
	committed := s.cfg.Now() - o.arrived
	if err == nil {
		err = s.waitActed(o, result.Index)
	}
	s.cfg.Log.Info("order for a zone handled", o.fields(zap.Uint64("index", result.GetIndex()), zap.Uint64("seen", seen),
		zap.Duration("committed", committed), zap.Duration("took", s.cfg.Now()-o.arrived), zap.Error(err))...)
	return err
}

// checkZone returns an error if no zone has the name. An instance that has just started
// may not know all zones.
func (s *Server) checkZone(zone string) error {
	if err := evacuation.ValidateZone(zone); err != nil {
		return err
	}
	switch {
	case s.cfg.Hub.KnowsZone(zone):
		return nil
	case time.Since(s.started) <= watcherGracePeriod:
		return &ZoneNotYetKnownError{Zone: zone}
	default:
		return &UnknownZoneError{Zone: zone}
	}
}

// proposeOrder commits an order, unless a change of the zone that was not seen when it
// arrived stands against it. Shortly after its arrival, such a change can only be an
// earlier one that this instance learnt late.
func (s *Server) proposeOrder(ctx context.Context, o order, seen uint64) (*statepb.Result, error) {
	for {
		result, err := s.proposeInTime(ctx, o, seen)
		switch {
		case err != nil:
			return nil, err
		case result.Kind == statepb.ResultKind_RESULT_KIND_OK:
			return result, nil
		case result.Kind != statepb.ResultKind_RESULT_KIND_CONFLICT || s.cfg.Now()-o.arrived > rebaseLifetime:
			return nil, &RejectedError{Detail: result.Detail, Remedy: result.Remedy}
		}
		seen = result.Index
	}
}

// proposeInTime commits a command for an order. It proposes it only while the order is
// young and its caller is still there.
func (s *Server) proposeInTime(ctx context.Context, o order, seen uint64) (*statepb.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, orderLifetime)
	defer cancel()
	var result *statepb.Result
	var expired *OrderExpiredError
	check := func() error {
		if age := s.cfg.Now() - o.arrived; age > orderLifetime || callerGone(ctx) {
			expired = &OrderExpiredError{Age: age}
			cancel()
			return expired
		}
		return nil
	}
	// Each try needs its own command, as the leader numbers the one that it is given.
	command := func() *statepb.Command {
		return &statepb.Command{Body: &statepb.Command_Evacuate{Evacuate: &statepb.Evacuate{Zone: o.zone, Revoke: o.revoke, Seen: seen}}}
	}
	err := s.callLeader(ctx, func(ctx context.Context) (err error) {
		if err := check(); err != nil {
			return err
		}
		result, err = s.cfg.Replica.Propose(ctx, command())
		return err
	}, func(ctx context.Context, address string) error {
		if err := check(); err != nil {
			return err
		}
		e, err := s.cfg.Pool.RoundTrip(ctx, address, &fleetpb.Envelope{Body: &fleetpb.Envelope_Propose{Propose: &fleetpb.Propose{Command: command()}}})
		result = e.GetResult()
		return err
	})
	if expired != nil {
		return nil, expired
	}
	return result, err
}

// waitActed waits until the entries act on an order that was committed. index is the log
// index of the evacuated zones. The wait goes on when the operator has given up, so that the
// log tells how long it took.
func (s *Server) waitActed(o order, index uint64) error {
	time.Sleep(joinPeriod - time.Since(s.started))
	s.awaitListedEntries(o)
	ctx, cancel := context.WithTimeout(context.Background(), actTimeout)
	defer cancel()
	if lacking := s.cfg.Hub.WaitEvacuations(ctx, index); len(lacking) > 0 {
		return &NotActedOnError{Zone: o.zone, Lacking: lacking}
	}
	if s.cfg.Hub.EntryCount() == 0 {
		return &NoEntriesError{}
	}
	return nil
}

// awaitListedEntries returns once the entries that other control instances list are
// connected here, or after connectTimeout.
func (s *Server) awaitListedEntries(o order) {
	if s.cfg.Entries == nil {
		return
	}
	for deadline := time.Now().Add(connectTimeout); ; time.Sleep(connectPollInterval) {
		missing := s.cfg.Hub.NotWatching(s.cfg.Entries())
		if len(missing) == 0 {
			return
		}
		if time.Now().After(deadline) {
			s.cfg.Log.Warn("entries are not connected here; another control instance tells them", o.fields(zap.Strings("entries", missing))...)
			return
		}
	}
}

// EvacuatedZones returns the evacuated zones, through a linearizable read.
func (s *Server) EvacuatedZones(ctx context.Context) (*statepb.Evacuations, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	e, _, err := s.readOrders(ctx)
	return e, err
}

// readOrders returns the evacuated zones and the ended starts of upstreams. The latter are
// nil if the leader runs a version that records none.
func (s *Server) readOrders(ctx context.Context) (*statepb.Evacuations, *statepb.EndedStarts, error) {
	var e *statepb.Evacuations
	var ended *statepb.EndedStarts
	err := s.callLeader(ctx, func(ctx context.Context) error {
		return s.cfg.Replica.Read(ctx, func(m *fsm.Machine) { e, ended = m.Evacuations(), m.EndedStarts() })
	}, func(ctx context.Context, address string) error {
		reply, err := s.cfg.Pool.RoundTrip(ctx, address, &fleetpb.Envelope{Body: &fleetpb.Envelope_Read{Read: &fleetpb.Read{Linear: true, Evacuations: true, EndedStarts: true}}})
		e, ended = reply.GetReadReply().GetEvacuations(), reply.GetReadReply().GetEndedStarts()
		return err
	})
	return e, ended, err
}

// EvacuationsCurrent reports whether the evacuated zones that the Hub knows are sure to be
// the present ones. It is not while this instance has just started, was suspended or
// follows no leader.
func (s *Server) EvacuationsCurrent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currency.valid(s.cfg.Now())
}

// confirmLoop reads the evacuated zones and the ended starts from the leader whenever this instance may have
// missed a change.
func (s *Server) confirmLoop() {
	defer s.wg.Done()
	t := time.NewTicker(confirmInterval)
	defer t.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-t.C:
			s.confirmCurrent()
			s.forgetEnds()
		}
	}
}

func (s *Server) confirmCurrent() {
	began := s.cfg.Now()
	s.mu.Lock()
	needsRead := s.currency.tick(began, s.cfg.Replica.Status().Leader != 0)
	s.mu.Unlock()
	if !needsRead {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
	defer cancel()
	e, ended, err := s.readOrders(ctx)
	if err != nil || e.GetIndex() == 0 {
		s.cfg.Log.Info("evacuated zones and ended starts not confirmed by the leader yet", zap.Error(err))
		return
	}
	s.cfg.Hub.SetEvacuations(e)
	s.cfg.Hub.SetEndedStarts(ended)
	s.mu.Lock()
	s.currency.confirm(began)
	s.mu.Unlock()
	s.cfg.Hub.RepeatEvacuations()
}

// Close stops the Server's goroutine and waits for it.
func (s *Server) Close() error {
	s.cancel()
	s.wg.Wait()
	return nil
}
