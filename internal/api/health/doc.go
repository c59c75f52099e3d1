// Package health serves the HTTP endpoints by which a process is monitored:
// liveness on /healthz, readiness on /readyz, metrics on /metrics in the Prometheus
// text format, and a status as plain text on /status if the process has one.
//
// # Usage
//
//	h := health.New(health.Config{Role: "entry", Process: name})
//	h.Routes(mux)
//	h.SetReady(func() error { ... })
package health
