package health

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the time between updates of the values on /metrics.
const reportInterval = time.Second

// Config configures a Health.
type Config struct {
	// Role follows hawthornhub_ in the names of all metrics.
	Role string
	// Process is the name of the process, the value of the label process of all
	// metrics.
	Process string
}

// Health holds the metrics and the readiness check of a process.
type Health struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
	mu       sync.Mutex
	// ready returns nil if the process is ready.
	ready func() error
	// status writes the status of the process.
	status func(io.Writer)
}

// New returns a Health that is not ready until SetReady is called.
func New(cfg Config) *Health {
	// Scrapers limit the size of a response; the metrics of the Go runtime, which the
	// default registry holds too, would come before the product's own.
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
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

// Metrics returns the scope in which metrics are created.
func (h *Health) Metrics() tally.Scope { return h.scope }

// SetReady sets the readiness check. An error means that the process is not ready;
// its text is the body of the response of /readyz.
func (h *Health) SetReady(check func() error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ready = check
}

// SetStatus sets what /status answers.
func (h *Health) SetStatus(write func(io.Writer)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.status = write
}

// Routes registers the endpoints on mux.
func (h *Health) Routes(mux *http.ServeMux) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", h.readyz)
	mux.HandleFunc("GET /status", h.writeStatus)
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

func (h *Health) writeStatus(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	write := h.status
	h.mu.Unlock()
	if write == nil {
		http.Error(w, "this process has no status beyond its metrics; see /metrics", http.StatusNotFound)
		return
	}
	write(w)
}

// Close updates the metrics a last time and stops further updates.
func (h *Health) Close() error { return h.closer.Close() }
