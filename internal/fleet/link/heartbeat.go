package link

import (
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// replyTimeoutFactor is the longest wait for the reply to a heartbeat on a session on
// which other data arrives, in multiples of PoolConfig.HeartbeatTimeout.
const replyTimeoutFactor = 5

// heartbeat watches one session. It closes the session once nothing at all has
// arrived for PoolConfig.HeartbeatTimeout, or a reply is long overdue.
type heartbeat struct {
	pool    *Pool
	peer    *peer
	link    openLink
	address string
}

// run sends heartbeats until the session ends, is silent or is idle.
func (h heartbeat) run() {
	defer h.link.session.Close()
	raw, err := h.link.session.OpenStream()
	if err != nil {
		return
	}
	st := newStream(h.pool.cfg.Local, h.link.conn, raw)
	defer st.Close()
	replied := &atomic.Pointer[time.Time]{}
	start := time.Now()
	replied.Store(&start)
	h.pool.wg.Add(1)
	go h.receivePongs(st, replied)
	ticker := time.NewTicker(h.pool.cfg.HeartbeatInterval)
	defer ticker.Stop()
	for seq := uint64(1); ; seq++ {
		if err := h.send(st, seq); err != nil {
			h.logDropped(err)
			return
		}
		select {
		case <-h.link.session.CloseChan():
			return
		case <-ticker.C:
		}
		if err := h.check(*replied.Load()); err != nil {
			h.logDropped(err)
			return
		}
		if h.peer.closeIdle(h.link.session, h.pool.cfg.IdleTimeout) {
			return
		}
	}
}

func (h heartbeat) logDropped(err error) {
	if !h.link.session.IsClosed() {
		h.pool.cfg.Log.Warn("session silent, dropped", zap.String("address", h.address), zap.Error(err))
	}
}

// check returns an error if the session is silent. replied is when the last reply
// arrived.
func (h heartbeat) check(replied time.Time) error {
	now, timeout := time.Now(), h.pool.cfg.HeartbeatTimeout
	if silence := now.Sub(h.link.conn.LastReceived()); silence > timeout {
		return fmt.Errorf("nothing received for %v", silence)
	}
	if overdue := now.Sub(replied); overdue > replyTimeoutFactor*timeout {
		return fmt.Errorf("no reply to a heartbeat for %v", overdue)
	}
	return nil
}

func (h heartbeat) send(st *Stream, seq uint64) error {
	if err := st.raw.SetWriteDeadline(time.Now().Add(h.pool.cfg.HeartbeatTimeout)); err != nil {
		return err
	}
	return st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_Ping{Ping: &fleetpb.Ping{Seq: seq}}})
}

// receivePongs records when the last reply arrived.
func (h heartbeat) receivePongs(st *Stream, replied *atomic.Pointer[time.Time]) {
	defer h.pool.wg.Done()
	for {
		e, err := st.Recv()
		if err != nil {
			return
		}
		if e.GetPong() == nil {
			h.pool.cfg.Log.Warn("unexpected reply to a heartbeat", zap.String("address", h.address), zap.String("type", fmt.Sprintf("%T", e.Body)))
			h.link.session.Close()
			return
		}
		now := time.Now()
		replied.Store(&now)
		if h.pool.cfg.OnPong != nil {
			h.pool.cfg.OnPong(h.address, e.GetPong())
		}
	}
}
