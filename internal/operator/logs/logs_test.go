package logs

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
)

// gate is an output that takes nothing until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

// Write waits for the gate.
func (g *gate) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(b)
}

func (g *gate) lines() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return strings.Split(strings.TrimSpace(g.buf.String()), "\n")
}

func TestLinesAreJSONWithFields(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	l := Open(Config{Out: g, Level: zap.InfoLevel})
	l.Logger().Debug("hidden")
	l.Logger().With(zap.String("process", "p")).Info("shown", zap.Duration("took", 1500*time.Microsecond))
	l.Close()
	var line struct {
		Msg, Process, Level, TS string
		Took                    float64
	}
	if got, want := len(g.lines()), 1; got != want {
		t.Fatalf("%d lines, want %d", got, want)
	}
	if err := json.Unmarshal([]byte(g.lines()[0]), &line); err != nil {
		t.Fatalf("line: %v", err)
	}
	if line.Msg != "shown" || line.Process != "p" || line.Level != "info" || line.TS == "" {
		t.Errorf("got %+v", line)
	}
}

// An output that takes nothing never blocks the process; warnings outlast
// other lines, and the number of those lost is logged.
func TestFullQueueDropsAndNeverBlocks(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	l := Open(Config{Out: g, Level: zap.InfoLevel, Queue: 100})
	done := make(chan struct{})
	go func() {
		for range 500 {
			l.Logger().Info("went well")
		}
		for range 40 {
			l.Logger().Warn("failed")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the logger blocks")
	}
	if got := l.Dropped(); got < 400 {
		t.Errorf("%d lines dropped, want 400 or more", got)
	}
	close(g.open)
	for until := time.Now().Add(10 * time.Second); l.Dropped() > 0 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	l.Close()
	failed, told := 0, 0
	for _, line := range g.lines() {
		failed += strings.Count(line, `"msg":"failed"`)
		told += strings.Count(line, `"msg":"log lines dropped"`)
	}
	if failed != 40 || told != 1 {
		t.Errorf("%d warnings and %d words on dropped lines, want 40 and 1", failed, told)
	}
}

func TestLogAfterCloseIsDropped(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	l := Open(Config{Out: g, Level: zap.InfoLevel})
	l.Close()
	l.Logger().Info("late")
	l.Close()
	if got, want := l.Dropped(), 1; got != want {
		t.Errorf("%d dropped, want %d", got, want)
	}
}
