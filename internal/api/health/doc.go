// Package health serves the HTTP endpoints by which a process is monitored:
// liveness on /healthz, readiness on /readyz, and metrics on /metrics in the
// Prometheus text format.
//
// # Usage
//
//	h := health.New(health.Config{Role: "entry", Process: name})
//	h.Routes(mux)
//	h.SetReady(func() error { ... })
package health
