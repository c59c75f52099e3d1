// Package platform serves what the platform asks of every process over HTTP:
// liveness on /healthz, readiness on /readyz, and metrics on /metrics in the
// Prometheus text format.
//
// # Usage
//
//	p := platform.New(platform.Config{Role: "entry"})
//	p.Routes(mux)
//	p.SetReady(func() error { ... })
package platform
