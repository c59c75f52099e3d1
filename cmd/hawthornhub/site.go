package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"hawthornhub.example/hawthornhub/internal/api/health"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/fleet/timeline"
	"hawthornhub.example/hawthornhub/internal/operator/logs"
	"hawthornhub.example/hawthornhub/internal/operator/settings"
)

const (
	// memoryShare is the part of an instance's memory that the collector keeps
	// the process under.
	memoryShare = 0.6
	// siteHeartbeat is the time between heartbeats of a link, and siteSilence
	// the longest wait for the answer to one.
	siteHeartbeat = 300 * time.Millisecond
	siteSilence   = time.Second
	// siteDial is the longest time to open a link.
	siteDial = 250 * time.Millisecond
	// ringEvents is the number of time line events that a process keeps.
	ringEvents = 2048
)

// base is what gateway and registry processes have in common.
type base struct {
	file        string
	role        settings.Role
	settings    settings.Site
	incarnation uint64
	logs        *logs.Log
	log         *zap.Logger
	health      *health.Health
	timeline    *timeline.Recorder
	local       link.Local
	auth        link.Auth
	pool        *link.Pool
	// read is the time of the settings file when it was read last.
	read   time.Time
	done   chan struct{}
	gauges sync.WaitGroup
}

func newBase(file string, role settings.Role) (*base, error) {
	s, err := settings.LoadSite(file, role)
	if err != nil {
		return nil, &exitError{code: exitUsage, err: err}
	}
	level, err := zapcore.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, &exitError{code: exitUsage, err: err}
	}
	if s.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMb) * memoryShare * (1 << 20)))
	}
	b := &base{file: file, role: role, settings: s, incarnation: uint64(time.Now().UnixNano()), done: make(chan struct{})}
	b.logs = logs.Open(logs.Config{Out: os.Stdout, Level: level})
	b.log = b.logs.Logger().With(zap.String("process", s.Name))
	b.health = health.New(health.Config{Role: string(role), Process: s.Name})
	b.timeline = timeline.NewRecorder(timeline.Config{Process: s.Name, Capacity: ringEvents, Log: b.log})
	key, err := s.FleetKey()
	if err != nil {
		return nil, &exitError{code: exitUsage, err: err}
	}
	b.auth = link.Auth{Key: key}
	b.local = link.Local{Name: s.Name, Clock: b.timeline.Clock()}
	if role == settings.RoleRegistry {
		// The members of the log are called by their addresses.
		b.local.Name = s.Listen.Link
	}
	b.pool = link.NewPool(link.PoolConfig{Local: b.local, Auth: b.auth, HeartbeatInterval: siteHeartbeat, HeartbeatTimeout: siteSilence, DialTimeout: siteDial, Log: b.log})
	b.read = b.fileTime()
	b.log.Info("process starts", zap.String("role", string(role)), zap.String("zone", s.Zone), zap.Strings("seeds", s.Seeds),
		zap.Uint64("incarnation", b.incarnation), zap.Bool("first", s.Replica.First), zap.String("program", version))
	return b, nil
}

// forgetSilent is how much longer than one that has left an upstream is
// remembered that has fallen silent.
const forgetSilent = time.Minute

// gaugeEvery is the time between updates of the gauges.
const gaugeEvery = time.Second

// startGauges updates gauges until the process ends.
func (b *base) startGauges(update func(scope tally.Scope)) {
	b.gauges.Add(1)
	go func() {
		defer b.gauges.Done()
		t := time.NewTicker(gaugeEvery)
		defer t.Stop()
		for {
			select {
			case <-b.done:
				return
			case <-t.C:
				b.health.Metrics().Gauge("log_lines_dropped").Update(float64(b.logs.Dropped()))
				update(b.health.Metrics())
			}
		}
	}()
}

// serveHealth serves health and metrics where the settings name an address.
func (b *base) serveHealth(ready func() error) error {
	if b.settings.Listen.Health == "" {
		return nil
	}
	mux := http.NewServeMux()
	b.health.Routes(mux)
	b.health.SetReady(ready)
	return b.serveOn(b.settings.Listen.Health, &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout})
}

// serveOn starts an HTTP server at an address of the settings.
func (b *base) serveOn(address string, srv *http.Server) error {
	if err := listenHTTP(address, srv, b.log); err != nil {
		return fmt.Errorf("%w; check the setting listen", err)
	}
	return nil
}

// settingsEvery is the time between looks at the settings file, which may
// change without a signal.
const settingsEvery = 2 * time.Second

// untilStop calls reload at each SIGHUP and whenever the settings file has
// changed, and returns at the first SIGTERM or SIGINT with a context that ends
// with the grace period.
func (b *base) untilStop(reload func(settings.Site)) (context.Context, context.CancelFunc) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	t := time.NewTicker(settingsEvery)
	defer t.Stop()
	for stopping := false; !stopping; {
		select {
		case sig := <-signals:
			stopping = sig != syscall.SIGHUP
			if !stopping {
				b.reload(reload)
			}
		case <-t.C:
			if changed := b.fileTime(); !changed.Equal(b.read) {
				b.reload(reload)
			}
		}
	}
	grace := b.settings.Grace()
	b.log.Info("process stops", zap.Duration("grace", grace))
	return context.WithTimeout(context.Background(), grace-graceMargin)
}

// fileTime returns when the settings file was written last.
func (b *base) fileTime() time.Time {
	info, err := os.Stat(b.file)
	if err != nil {
		b.log.Warn("settings file cannot be looked at", zap.Error(err))
		return b.read
	}
	return info.ModTime()
}

// graceMargin is kept of the grace period for ending the process itself.
const graceMargin = 300 * time.Millisecond

func (b *base) reload(apply func(settings.Site)) {
	b.read = b.fileTime()
	s, err := settings.LoadSite(b.file, b.role)
	if err != nil {
		b.log.Error("settings not reloaded", zap.Error(err))
		return
	}
	apply(s)
	b.log.Info("settings reloaded", zap.Strings("seeds", s.Seeds))
}

func (b *base) close() {
	close(b.done)
	b.gauges.Wait()
	if err := b.pool.Close(); err != nil {
		b.log.Warn("links not closed", zap.Error(err))
	}
	if err := b.health.Close(); err != nil {
		b.log.Warn("metrics not reported", zap.Error(err))
	}
	b.log.Info("process ends")
	_ = b.logs.Close() // Nothing is left to log to.
}
