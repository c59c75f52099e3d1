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

// blockedWriter is an output that blocks until unblocked is closed.
type blockedWriter struct {
	unblocked chan struct{}
	mu        sync.Mutex
	buf       bytes.Buffer
}

// Write waits until unblocked is closed.
func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.unblocked
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(b)
}

func (w *blockedWriter) lines() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Split(strings.TrimSpace(w.buf.String()), "\n")
}

func TestLinesAreJSONWithFields(t *testing.T) {
	w := &blockedWriter{unblocked: make(chan struct{})}
	close(w.unblocked)
	l := Open(Config{Out: w, Level: zap.InfoLevel})
	l.Logger().Debug("hidden")
	l.Logger().With(zap.String("process", "p")).Info("shown", zap.Duration("took", 1500*time.Microsecond))
	l.Close()
	var line struct {
		Msg, Process, Level, TS string
		Took                    float64
	}
	if got, want := len(w.lines()), 1; got != want {
		t.Fatalf("%d lines, want %d", got, want)
	}
	if err := json.Unmarshal([]byte(w.lines()[0]), &line); err != nil {
		t.Fatalf("line: %v", err)
	}
	if line.Msg != "shown" || line.Process != "p" || line.Level != "info" || line.TS == "" {
		t.Errorf("got %+v", line)
	}
}

// A blocked output does not block the process. Lines below warning level are
// dropped first, and the number of dropped lines is logged.
func TestFullQueueDropsLinesWithoutBlocking(t *testing.T) {
	w := &blockedWriter{unblocked: make(chan struct{})}
	l := Open(Config{Out: w, Level: zap.InfoLevel, QueueSize: 100})
	done := make(chan struct{})
	go func() {
		for range 500 {
			l.Logger().Info("succeeded")
		}
		for range 40 {
			l.Logger().Warn("failed")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the logger blocked")
	}
	if got := l.Dropped(); got < 400 {
		t.Errorf("%d lines dropped, want 400 or more", got)
	}
	close(w.unblocked)
	for deadline := time.Now().Add(10 * time.Second); l.Dropped() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	l.Close()
	failed, reports := 0, 0
	for _, line := range w.lines() {
		failed += strings.Count(line, `"msg":"failed"`)
		reports += strings.Count(line, `"msg":"log lines dropped"`)
	}
	if failed != 40 || reports != 1 {
		t.Errorf("%d warnings and %d reports of dropped lines, want 40 and 1", failed, reports)
	}
}

func TestLogAfterCloseIsDropped(t *testing.T) {
	w := &blockedWriter{unblocked: make(chan struct{})}
	close(w.unblocked)
	l := Open(Config{Out: w, Level: zap.InfoLevel})
	l.Close()
	l.Logger().Info("late")
	l.Close()
	if got, want := l.Dropped(), 1; got != want {
		t.Errorf("%d dropped, want %d", got, want)
	}
}
