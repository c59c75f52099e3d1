package watch

import (
	"bytes"
	"net"
	"sync/atomic"
	"testing"

	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// meteredListener counts what is written to the connections that it accepts.
type meteredListener struct {
	net.Listener
	written *atomic.Int64
}

func (l meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return meteredConn{c, l.written}, nil
}

type meteredConn struct {
	net.Conn
	written *atomic.Int64
}

func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// documentVersion is the version of the site document that the entry has received.
func (e *entry) documentVersion() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

func TestDocumentIsSentToAnEntryByEveryControlInstance(t *testing.T) {
	const instances, documentBytes = 8, 1 << 20
	var written atomic.Int64
	var controls []*controlInstance
	var addresses []string
	for range instances {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		c := newControlInstanceOn(t, meteredListener{ln, &written})
		controls = append(controls, c)
		addresses = append(addresses, c.server.Address())
	}
	e := newEntry(t, "e1", addresses...)
	eventually(t, "connection to all control instances", func() bool { return e.ConnectedCount() == instances })
	text := bytes.Repeat([]byte("x"), documentBytes)
	for _, c := range controls {
		c.hub.SetSiteDocument(&statepb.Adopted{Version: 7, Text: text})
	}
	eventually(t, "acknowledgement of the document by the entry", func() bool {
		for _, c := range controls {
			if s := c.hub.Stats(); s.Behind > 0 || s.Watchers != 1 {
				return false
			}
		}
		return e.documentVersion() == 7
	})
	if got, limit := written.Load(), int64(3*documentBytes/2); got > limit {
		t.Errorf("%d bytes were sent for a document of %d, want at most %d", got, documentBytes, limit)
	}
}
