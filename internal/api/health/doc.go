// Package health serves what watches every process over HTTP:
// liveness on /healthz, readiness on /readyz, and metrics on /metrics in the
// Prometheus text format.
//
// # Usage
//
//	h := health.New(health.Config{Role: "entry"})
//	h.Routes(mux)
//	h.SetReady(func() error { ... })
package health
