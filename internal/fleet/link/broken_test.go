package link

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// A reply that breaks off, is no Envelope or has no message is an error. Callers read from a reply
// what they asked for, and an empty one says that there is nothing, no configuration for one.
func TestBrokenReplyIsTakenForReply(t *testing.T) {
	whole, err := proto.Marshal(&fleetpb.Envelope{From: "server", Body: &fleetpb.Envelope_HelloReply{HelloReply: &fleetpb.HelloReply{Name: "server"}}})
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	headless, err := proto.Marshal(&fleetpb.Envelope{From: "server"})
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	framed := func(b []byte) []byte { return append([]byte{byte(len(b))}, b...) }
	for name, raw := range map[string][]byte{
		"nothing":             {},
		"cut length":          {0xff},
		"length without end":  {0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"length over maximum": {0xff, 0xff, 0xff, 0xff, 0xff, 0x0f},
		"cut envelope":        framed(whole)[:len(whole)],
		"length and nothing":  {5},
		"other bytes":         framed([]byte("HTTP/1.1 200 OK\r\n")),
		"empty envelope":      {0},
		"no message":          framed(headless),
	} {
		t.Run(name, func(t *testing.T) {
			s, err := Listen(ServerConfig{Address: "127.0.0.1:0", Local: Local{Name: "server"}, Auth: Auth{Key: testKey}, Handle: func(_ context.Context, s *Stream, _ *fleetpb.Envelope) {
				s.raw.Write(raw)
			}})
			if err != nil {
				t.Fatalf("listen: %v", err)
			}
			defer s.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			start := time.Now()
			e, err := newPool(t, testKey).RoundTrip(ctx, s.Address(), callWith("hello"))
			if err == nil {
				t.Errorf("got the reply %v, want an error", e)
			}
			if took := time.Since(start); took > time.Second {
				t.Errorf("took %v, want less than 1 s", took)
			}
		})
	}
}
