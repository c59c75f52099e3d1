package health

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

// Config builds a Health.
type Config struct {
	// Role begins the metrics' names.
	Role string
	// Process is the process name, a label of every metric.
	Process string
}

// Health is what watches a process see of it.
type Health struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
	mu       sync.Mutex
	ready    func() error
}

// New returns a Health that is not ready.
func New(cfg Config) *Health {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "hawthornhub_" + cfg.Role,
		Tags:            map[string]string{"process": cfg.Process},
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return &Health{
		scope:    scope,
		closer:   closer,
		reporter: reporter,
		ready:    func() error { return fmt.Errorf("starting") },
	}
}

// Metrics returns the scope to report to.
func (h *Health) Metrics() tally.Scope { return h.scope }

// SetReady replaces the readiness check, which returns why the process is not
// ready.
func (h *Health) SetReady(check func() error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ready = check
}

// Routes adds the paths of health, readiness and metrics.
func (h *Health) Routes(mux *http.ServeMux) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", h.readyz)
	mux.Handle("GET /metrics", h.reporter.HTTPHandler())
}

func (h *Health) readyz(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	check := h.ready
	h.mu.Unlock()
	if err := check(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// Close reports the metrics a last time.
func (h *Health) Close() error { return h.closer.Close() }
