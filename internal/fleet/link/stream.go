package link

import (
	"bufio"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/fleet/timeline"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// maxFrameBytes is the greatest size of one Envelope.
const maxFrameBytes = 256 << 20

// readBuffer is the size of a stream's read buffer.
const readBuffer = 1 << 10

// Local is what a process stamps on its messages and learns from others.
type Local struct {
	// Name is the process name.
	Name string
	// Clock is the hybrid logical clock.
	Clock *timeline.Clock
	// Document returns the index of the document in force here.
	Document func() uint64
	// Heard is told of the document index of each message received.
	Heard func(from string, document uint64)
}

func (l Local) stamp(e *fleetpb.Envelope) {
	e.From = l.Name
	if l.Clock != nil {
		e.Clock = l.Clock.Next()
	}
	if l.Document != nil {
		e.Document = l.Document()
	}
}

func (l Local) observe(e *fleetpb.Envelope) {
	if l.Clock != nil {
		l.Clock.Observe(e.Clock)
	}
	if l.Heard != nil {
		l.Heard(e.From, e.Document)
	}
}

// Stream is one conversation. Send and Recv may be used by one goroutine
// each.
type Stream struct {
	local Local
	raw   *yamux.Stream
	r     *bufio.Reader
	mu    sync.Mutex
	buf   []byte
}

func newStream(local Local, raw *yamux.Stream) *Stream {
	return &Stream{local: local, raw: raw, r: bufio.NewReaderSize(raw, readBuffer)}
}

// Send stamps and writes Envelopes, all in one write.
func (s *Stream) Send(envelopes ...*fleetpb.Envelope) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buf = s.buf[:0]
	for _, e := range envelopes {
		s.local.stamp(e)
		s.buf = protowire.AppendVarint(s.buf, uint64(proto.Size(e)))
		b, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(s.buf, e)
		if err != nil {
			return fmt.Errorf("encode envelope: %w", err)
		}
		s.buf = b
	}
	if _, err := s.raw.Write(s.buf); err != nil {
		return fmt.Errorf("send to %s: %w", s.raw.RemoteAddr(), err)
	}
	return nil
}

// Recv reads one Envelope.
func (s *Stream) Recv() (*fleetpb.Envelope, error) {
	e := &fleetpb.Envelope{}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}).UnmarshalFrom(s.r, e); err != nil {
		return nil, fmt.Errorf("receive from %s: %w", s.raw.RemoteAddr(), err)
	}
	s.local.observe(e)
	return e, nil
}

// SetReadDeadline bounds the next Recv.
func (s *Stream) SetReadDeadline(t time.Time) error { return s.raw.SetReadDeadline(t) }

// Close ends both directions. Nothing may be received afterwards.
func (s *Stream) Close() error {
	return s.raw.Close()
}
