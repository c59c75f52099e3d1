package platform

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the time between reports of the metrics.
const reportInterval = time.Second

// Config builds a Platform.
type Config struct {
	// Role begins the metrics' names.
	Role string
	// Process is the process name, a label of every metric.
	Process string
}

// Platform is the platform's view of a process.
type Platform struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
	mu       sync.Mutex
	ready    func() error
}

// New returns a Platform that is not ready.
func New(cfg Config) *Platform {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "hawthornhub_" + cfg.Role,
		Tags:            map[string]string{"process": cfg.Process},
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return &Platform{
		scope:    scope,
		closer:   closer,
		reporter: reporter,
		ready:    func() error { return fmt.Errorf("starting") },
	}
}

// Metrics returns the scope to report to.
func (p *Platform) Metrics() tally.Scope { return p.scope }

// SetReady replaces the readiness check, which returns why the process is not
// ready.
func (p *Platform) SetReady(check func() error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ready = check
}

// Routes adds the platform's paths.
func (p *Platform) Routes(mux *http.ServeMux) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", p.readyz)
	mux.Handle("GET /metrics", p.reporter.HTTPHandler())
}

func (p *Platform) readyz(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	check := p.ready
	p.mu.Unlock()
	if err := check(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// Close reports the metrics a last time.
func (p *Platform) Close() error { return p.closer.Close() }
