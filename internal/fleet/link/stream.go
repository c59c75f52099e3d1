package link

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/fleet/timeline"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// maxEnvelopeBytes is the maximum encoded size of a received Envelope.
const maxEnvelopeBytes = 256 << 20

// growBytes is the size up to which memory for an Envelope is allocated at once.
const growBytes = 64 << 10

// readBufferBytes is the size of a stream's read buffer.
const readBufferBytes = 1 << 10

// Local describes the local process. It fills in the header fields of sent
// Envelopes and observes those of received ones.
type Local struct {
	// Name is the process name.
	Name string
	// Clock is the process's hybrid logical clock; nil sends no timestamps.
	Clock *timeline.Clock
	// DocumentIndex returns the index of the document that this process applies;
	// nil sends none.
	DocumentIndex func() uint64
	// ObserveDocument is called with the sender and the document index of each
	// received Envelope; nil ignores them.
	ObserveDocument func(from string, index uint64)
}

// stamp sets the header fields of an Envelope to be sent.
func (l Local) stamp(e *fleetpb.Envelope) {
	e.From = l.Name
	if l.Clock != nil {
		e.Clock = l.Clock.Next()
	}
	if l.DocumentIndex != nil {
		e.Document = l.DocumentIndex()
	}
}

// observe passes on the header fields of a received Envelope.
func (l Local) observe(e *fleetpb.Envelope) {
	if l.Clock != nil {
		l.Clock.Observe(e.Clock)
	}
	if l.ObserveDocument != nil {
		l.ObserveDocument(e.From, e.Document)
	}
}

// Stream carries Envelopes in both directions. One goroutine may call Send while
// another calls Recv.
type Stream struct {
	local Local
	conn  *sessionConn
	raw   *yamux.Stream
	r     *bufio.Reader
	mu    sync.Mutex
	buf   []byte
}

func newStream(local Local, conn *sessionConn, raw *yamux.Stream) *Stream {
	conn.add(raw)
	return &Stream{local: local, conn: conn, raw: raw, r: bufio.NewReaderSize(raw, readBufferBytes)}
}

// Send sets the header fields of the Envelopes and writes them in one call.
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

// Recv reads the next Envelope.
func (s *Stream) Recv() (*fleetpb.Envelope, error) {
	e, err := s.receive()
	if err != nil {
		return nil, fmt.Errorf("receive from %s: %w", s.raw.RemoteAddr(), err)
	}
	s.local.observe(e)
	return e, nil
}

// receive reads one Envelope. It allocates memory as the bytes arrive and not by the
// announced length, which may be wrong.
func (s *Stream) receive() (*fleetpb.Envelope, error) {
	n, err := binary.ReadUvarint(s.r)
	if err != nil {
		return nil, err
	}
	if n > maxEnvelopeBytes {
		return nil, fmt.Errorf("envelope of %d bytes, at most %d are allowed", n, maxEnvelopeBytes)
	}
	var buf bytes.Buffer
	buf.Grow(int(min(n, growBytes)))
	if _, err := io.CopyN(&buf, s.r, int64(n)); err != nil {
		return nil, err
	}
	e := &fleetpb.Envelope{}
	return e, proto.Unmarshal(buf.Bytes(), e)
}

// SetReadDeadline sets the deadline of current and later Recv calls.
func (s *Stream) SetReadDeadline(t time.Time) error { return s.raw.SetReadDeadline(t) }

// Close closes the stream in both directions. Recv must not be called
// afterwards.
func (s *Stream) Close() error {
	s.conn.remove(s.raw)
	return s.raw.Close()
}
