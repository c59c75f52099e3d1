// Package upstream is the HTTP protocol between an agent and its upstream.
//
// The upstream sends the agent an Announcement and load reports; the agent runs
// and cancels stages on the upstream and sends it orders. The response to a
// stage is a stream of JSON lines: numbered chunks, then an end line with the
// count of the chunks. A line with the ID of another request is an error. Answers
// are read by package transport: only status 503 says that a stage did not run, and
// its connection is then given up, because a second copy of it would look like the
// answer to the next stage.
//
// # Usage
//
//	c := upstream.NewClient(announcement.Address)
//	end, err := c.Run(ctx, upstream.Request{ID: id, Kind: "encode", Input: in}, func(chunk upstream.Line) error { ... })
package upstream
