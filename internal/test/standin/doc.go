// Package standin simulates upstreams for tests and benchmarks: engines, encoders,
// retrievers, rerankers and services.
//
// A stand-in announces itself to its agent, sends load reports with a delay, and
// runs stages in a fixed number of slots with a service time that is linear in the
// size of the request. Faults can be injected: it slows down, stalls, drops
// responses, or exits before or after it executes an at-most-once call. Each
// executed at-most-once call and each accepted order is appended to a record file,
// against which failure tests check the outcomes that callers got.
//
// # Usage
//
//	s, err := standin.Start(standin.Config{Kind: "encode", Slots: 4, BaseUs: 2000, Agent: "127.0.0.1:9001"})
//	defer s.Close()
package standin
