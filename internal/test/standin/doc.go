// Package standin stands in for the platform's upstreams: engines, encoders,
// retrievers, rerankers and services.
//
// It announces itself to its agent, reports its load late, runs stages in a
// number of slots with a service time that grows with the size of the work,
// and fails on command: it slows down, stalls, drops answers or dies before or
// after the paid action. Every paid action and every obeyed order is written
// to a record file, which is the oracle of the failure tests.
//
// # Usage
//
//	s, err := standin.Start(standin.Config{Kind: "encode", Slots: 4, BaseUs: 2000, Agent: "127.0.0.1:9001"})
//	defer s.Close()
package standin
