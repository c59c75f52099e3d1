// Package upstream speaks HTTP to the one upstream beside an agent.
//
// The upstream announces itself with an Announcement and reports its load; the
// agent runs stages on it, cancels them and hands it orders. A stage's answer
// is a stream of JSON lines: numbered chunks, then an end that says how many
// there were. Lines of another request are an error.
//
// # Usage
//
//	c := upstream.NewClient(announcement)
//	end, err := c.Run(ctx, upstream.Request{ID: id, Kind: "encode", Input: in}, func(chunk upstream.Line) error { ... })
package upstream
