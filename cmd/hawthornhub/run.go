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
	"hawthornhub.example/hawthornhub/internal/operator/settings"
)

// headerTimeout bounds the reading of a request's headers.
const headerTimeout = 10 * time.Second

// load reads a role's settings.
func load(file string, role settings.Role) (settings.Settings, error) {
	s, err := settings.Load(file, role)
	if err != nil {
		return s, &exitError{code: exitUsage, err: err}
	}
	return s, nil
}

// newLog returns the process's log, JSON on standard error.
func newLog(s settings.Settings, role settings.Role) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, fmt.Errorf("parse log level: %w", err)
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(level)
	cfg.Sampling = nil
	log, err := cfg.Build()
	if err != nil {
		return nil, fmt.Errorf("build log: %w", err)
	}
	return log.With(zap.String("process", s.Name), zap.String("role", string(role)), zap.String("zone", s.Zone)), nil
}

// serveHTTP starts an HTTP server.
func serveHTTP(address string, handler http.Handler, log *zap.Logger) (*http.Server, error) {
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(log)}
	if err := listenHTTP(address, srv, log); err != nil {
		return nil, fmt.Errorf("%w; check the setting listen.http", err)
	}
	return srv, nil
}

// listenHTTP serves an HTTP server at an address until it is closed.
func listenHTTP(address string, srv *http.Server, log *zap.Logger) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for HTTP: %w", err)
	}
	go func() {
		if err := srv.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			log.Error("HTTP server ended", zap.String("address", address), zap.Error(err))
		}
	}()
	return nil
}

// waitForStop returns at the first SIGTERM or SIGINT. The returned context
// ends at the second one, or after bound. SIGHUP reloads the TLS files.
func waitForStop(p *process.Process, bound time.Duration) (context.Context, context.CancelFunc) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for sig := range signals {
		if sig != syscall.SIGHUP {
			break
		}
		if err := p.ReloadCertificates(); err != nil {
			p.Log.Error("TLS files not reloaded", zap.Error(err))
			continue
		}
		p.Log.Info("TLS files reloaded")
	}
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	go func() {
		for sig := range signals {
			if sig != syscall.SIGHUP {
				cancel()
				return
			}
		}
	}()
	p.Log.Info("stopping", zap.Duration("bound", bound))
	return ctx, cancel
}
