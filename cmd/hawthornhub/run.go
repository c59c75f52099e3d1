package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"hawthornhub.example/hawthornhub/internal/fleet/process"
	"hawthornhub.example/hawthornhub/internal/operator/hangup"
	"hawthornhub.example/hawthornhub/internal/operator/settings"
)

// readHeaderTimeout is the maximum time to read the headers of an HTTP request.
const readHeaderTimeout = 10 * time.Second

// loadSettings reads and validates the settings file of an entry, agent or control
// process.
func loadSettings(file string, role settings.Role) (settings.Settings, error) {
	s, err := settings.Load(file, role)
	if err != nil {
		return s, &exitError{code: exitUsage, err: err}
	}
	return s, nil
}

// newLogger returns a logger that writes JSON to standard error.
func newLogger(s settings.Settings, role settings.Role) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, fmt.Errorf("parse log level: %w", err)
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(level)
	cfg.Sampling = nil
	log, err := cfg.Build()
	if err != nil {
		return nil, fmt.Errorf("build logger: %w", err)
	}
	return log.With(zap.String("process", s.Name), zap.String("role", string(role)), zap.String("zone", s.Zone)), nil
}

// serveHTTP starts an HTTP server at the address of the setting listen.http or
// agent.announce.
func serveHTTP(address string, handler http.Handler, log *zap.Logger) (*http.Server, error) {
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: zap.NewStdLog(log)}
	if err := listenHTTP(address, srv, log); err != nil {
		return nil, fmt.Errorf("%w; check the setting listen.http or agent.announce", err)
	}
	return srv, nil
}

// listenHTTP listens at an address and serves srv in the background until srv is
// closed.
func listenHTTP(address string, srv *http.Server, log *zap.Logger) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for HTTP: %w", err)
	}
	go func() {
		if err := srv.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			log.Error("HTTP server failed", zap.String("address", address), zap.Error(err))
		}
	}()
	return nil
}

// waitForStop blocks until the first SIGTERM or SIGINT; SIGHUP reloads the TLS
// files meanwhile. The returned context limits the graceful stop: it ends after
// timeout or at a second SIGTERM or SIGINT.
func waitForStop(p *process.Process, timeout time.Duration) (context.Context, context.CancelFunc) {
	stops, reloads := make(chan os.Signal, 4), hangup.Signals()
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	for stopping := false; !stopping; {
		select {
		case <-stops:
			stopping = true
		case <-reloads:
			reloadCertificates(p)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	go func() {
		<-stops
		cancel()
	}()
	p.Log.Info("stopping", zap.Duration("bound", timeout))
	return ctx, cancel
}

func reloadCertificates(p *process.Process) {
	if err := p.ReloadCertificates(); err != nil {
		p.Log.Error("failed to reload TLS files", zap.Error(err))
		return
	}
	p.Log.Info("TLS files reloaded")
}
