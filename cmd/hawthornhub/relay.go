package main

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/api/relay"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/fleet/watch"
	"hawthornhub.example/hawthornhub/internal/operator/settings"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/platform"
)

// relayProcess is a running registry without a disk. It redirects requests to the
// control instances.
type relayProcess struct {
	*siteProcess
	follower   *watch.Follower
	linkServer *link.Server
	http       *http.Server
}

func runRelay(p *siteProcess) error {
	r := &relayProcess{siteProcess: p}
	if err := r.start(); err != nil {
		return err
	}
	ctx, cancel := p.waitForStop(func(s settings.Site) { r.follower.Add(s.ControlAddresses()) })
	defer cancel()
	return r.stop(ctx)
}

func (r *relayProcess) start() error {
	s := r.settings
	self := func() *fleetpb.Peer { return r.selfPeer(watch.RoleRelay) }
	r.follower = watch.NewFollower(watch.FollowerConfig{
		Pool:         r.pool,
		Seeds:        s.ControlAddresses(),
		WatchRequest: func() *fleetpb.Watch { return &fleetpb.Watch{Self: self()} },
		OnNews:       func(*fleetpb.News) {},
		Log:          r.log,
	})
	server := relay.New(relay.Config{Self: self, Controls: r.follower.Controls, AddControls: r.follower.Add, Log: r.log})
	var err error
	r.linkServer, err = link.Listen(link.ServerConfig{Address: s.Listen.Link, Local: r.local, Auth: r.auth, Handle: server.Serve, Log: r.log})
	if err != nil {
		return err
	}
	_, port, err := net.SplitHostPort(s.Listen.Registry)
	if err != nil {
		return err
	}
	r.startGauges(func(scope tally.Scope) {
		scope.Gauge("control_connected").Update(float64(r.follower.ConnectedCount()))
	})
	r.log.Info("instance has no disk; redirecting requests to control instances", zap.String("address", s.Listen.Registry))
	r.http = &http.Server{Handler: platform.RelayMux(port, server.NextHost), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: httpIdleTimeout}
	return errors.Join(r.serveHealth(r.checkReady), r.serveOn(s.Listen.Registry, r.http))
}

// checkReady returns an error if there is no control instance to redirect to.
func (r *relayProcess) checkReady() error {
	if r.follower.ConnectedCount() == 0 {
		return errors.New("no control instance is connected")
	}
	return nil
}

func (r *relayProcess) stop(ctx context.Context) error {
	err := errors.Join(r.http.Shutdown(ctx), r.follower.Close(), r.linkServer.Close())
	r.close()
	return err
}
