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
	"hawthornhub.example/hawthornhub/internal/operator/hangup"
	"hawthornhub.example/hawthornhub/internal/operator/logs"
	"hawthornhub.example/hawthornhub/internal/operator/settings"
)

const (
	// memoryLimitRatio is the Go memory limit of the process as a fraction of the
	// instance's memory.
	memoryLimitRatio = 0.6
	// linkHeartbeatInterval is the time between heartbeats of a link, and
	// linkHeartbeatTimeout the maximum time to wait for the reply to one.
	linkHeartbeatInterval = 300 * time.Millisecond
	linkHeartbeatTimeout  = time.Second
	// linkDialTimeout is the maximum time to open a link.
	linkDialTimeout = 250 * time.Millisecond
	// timelineCapacity is the number of timeline events that a process keeps.
	timelineCapacity = 2048
)

// siteProcess is the common part of gateway, registry and relay processes, whose
// settings are a settings.Site.
type siteProcess struct {
	settingsFile string
	role         settings.Role
	settings     settings.Site
	incarnation  uint64
	logs         *logs.Log
	log          *zap.Logger
	health       *health.Health
	timeline     *timeline.Recorder
	local        link.Local
	auth         link.Auth
	pool         *link.Pool
	// settingsModTime is the modification time that the settings file had when it
	// was last read.
	settingsModTime time.Time
	// done is closed to stop the update of gauges.
	done         chan struct{}
	gaugeUpdates sync.WaitGroup
}

// newSiteProcess reads the settings and creates the logger, the metrics, the
// timeline and the link pool. Its errors have the exit code exitUsage.
func newSiteProcess(file string, role settings.Role) (*siteProcess, error) {
	s, err := settings.LoadSite(file, role)
	if err != nil {
		return nil, &exitError{code: exitUsage, err: err}
	}
	level, err := zapcore.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, &exitError{code: exitUsage, err: err}
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes()) * memoryLimitRatio))
	}
	p := &siteProcess{settingsFile: file, role: role, settings: s, incarnation: uint64(time.Now().UnixNano()), done: make(chan struct{})}
	p.logs = logs.Open(logs.Config{Out: os.Stdout, Level: level})
	p.log = p.logs.Logger().With(zap.String("process", s.Name))
	p.health = health.New(health.Config{Role: string(role), Process: s.Name})
	p.timeline = timeline.NewRecorder(timeline.Config{Process: s.Name, Capacity: timelineCapacity, Log: p.log})
	key, err := s.FleetKey()
	if err != nil {
		return nil, &exitError{code: exitUsage, err: err}
	}
	p.auth = link.Auth{Key: key}
	p.local = link.Local{Name: s.Name, Clock: p.timeline.Clock()}
	if role == settings.RoleRegistry {
		// Raft members of the registries are identified by their link address.
		p.local.Name = s.Listen.Link
	}
	p.pool = p.newPool()
	p.settingsModTime = p.statSettings()
	p.log.Info("process starts", zap.String("role", string(role)), zap.String("zone", s.Zone), zap.Strings("seeds", s.Seeds),
		zap.Uint64("incarnation", p.incarnation), zap.Bool("first", s.Replica.Bootstrap), zap.String("program", version))
	return p, nil
}

// newPool returns a link pool with connections of its own.
func (p *siteProcess) newPool() *link.Pool {
	return link.NewPool(link.PoolConfig{
		Local:             p.local,
		Auth:              p.auth,
		HeartbeatInterval: linkHeartbeatInterval,
		HeartbeatTimeout:  linkHeartbeatTimeout,
		DialTimeout:       linkDialTimeout,
		Log:               p.log,
	})
}

// unresponsiveRetention is how much longer the catalog keeps an upstream that no
// longer announces itself than one that has left.
const unresponsiveRetention = time.Minute

// gaugeInterval is the time between updates of the gauges.
const gaugeInterval = time.Second

// startGauges calls update at each gauge interval until close.
func (p *siteProcess) startGauges(update func(scope tally.Scope)) {
	p.gaugeUpdates.Add(1)
	go func() {
		defer p.gaugeUpdates.Done()
		t := time.NewTicker(gaugeInterval)
		defer t.Stop()
		for {
			select {
			case <-p.done:
				return
			case <-t.C:
				p.health.Metrics().Gauge("log_lines_dropped").Update(float64(p.logs.Dropped()))
				update(p.health.Metrics())
			}
		}
	}()
}

// serveHealth serves health and metrics if the settings name an address for them.
func (p *siteProcess) serveHealth(checkReady func() error) error {
	if p.settings.Listen.Health == "" {
		return nil
	}
	mux := http.NewServeMux()
	p.health.Routes(mux)
	p.health.SetReady(checkReady)
	return p.serveOn(p.settings.Listen.Health, &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout})
}

// serveOn starts an HTTP server at an address of the section listen of the
// settings.
func (p *siteProcess) serveOn(address string, srv *http.Server) error {
	if err := listenHTTP(address, srv, p.log); err != nil {
		return fmt.Errorf("%w; check the setting listen", err)
	}
	return nil
}

// settingsPollInterval is the time between checks of the settings file, which may
// change without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// waitForStop blocks until the first SIGTERM or SIGINT. Until then it reloads the
// settings at each SIGHUP and whenever their file has changed, and passes them to
// apply. The returned context ends graceMargin before the end of the grace period.
func (p *siteProcess) waitForStop(apply func(settings.Site)) (context.Context, context.CancelFunc) {
	stops, reloads := make(chan os.Signal, 1), hangup.Signals()
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	for stopping := false; !stopping; {
		select {
		case <-stops:
			stopping = true
		case <-reloads:
			p.reloadSettings(apply)
		case <-t.C:
			if modTime := p.statSettings(); !modTime.Equal(p.settingsModTime) {
				p.reloadSettings(apply)
			}
		}
	}
	grace := p.settings.StopTimeout()
	p.log.Info("process stops", zap.Duration("grace", grace))
	return context.WithTimeout(context.Background(), grace-graceMargin)
}

// statSettings returns the modification time of the settings file, or the last
// known one if the file cannot be accessed.
func (p *siteProcess) statSettings() time.Time {
	info, err := os.Stat(p.settingsFile)
	if err != nil {
		p.log.Warn("cannot stat settings file", zap.Error(err))
		return p.settingsModTime
	}
	return info.ModTime()
}

// graceMargin is the part of the grace period that is reserved for closing the
// process after the requests.
const graceMargin = 300 * time.Millisecond

func (p *siteProcess) reloadSettings(apply func(settings.Site)) {
	p.settingsModTime = p.statSettings()
	s, err := settings.LoadSite(p.settingsFile, p.role)
	if err != nil {
		p.log.Error("failed to reload settings", zap.Error(err))
		return
	}
	apply(s)
	p.log.Info("settings reloaded", zap.Strings("seeds", s.Seeds))
}

func (p *siteProcess) close() {
	close(p.done)
	p.gaugeUpdates.Wait()
	if err := p.pool.Close(); err != nil {
		p.log.Warn("failed to close links", zap.Error(err))
	}
	if err := p.health.Close(); err != nil {
		p.log.Warn("failed to report metrics", zap.Error(err))
	}
	p.log.Info("process ends")
	_ = p.logs.Close() // The error cannot be logged any more.
}
