// Package agent stands beside one upstream and is the only way to it.
//
// One actor owns the queue, the gate and the order gate. Each call is a stream
// from an entry: it waits in the queue for a slot, runs on the upstream, and
// its chunks are passed on as they come. An agent that leaves refuses new
// calls at once, finishes what it has and then ends. A repeatable call whose
// entry goes away is cancelled down to the upstream; a once-only call runs on,
// and its outcome is kept for whoever asks.
//
// # Usage
//
//	a, err := agent.Start(agent.Config{Settings: s, System: system, ...})
//	a.Leave()
//	err = a.Close()
package agent
