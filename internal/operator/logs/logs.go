package logs

import (
	"io"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/buffer"
	"go.uber.org/zap/zapcore"
)

// defaultQueue is the number of lines that may wait.
const defaultQueue = 2048

// Config opens a Log.
type Config struct {
	Out   io.Writer
	Level zapcore.Level
	// Queue is the number of lines that may wait; 0 is 2048.
	Queue int
}

// Log is a log with a writer of its own. It is safe for concurrent use.
type Log struct {
	cfg     Config
	logger  *zap.Logger
	queue   chan *buffer.Buffer
	mu      sync.Mutex
	closed  bool
	dropped int
	wg      sync.WaitGroup
}

// Open starts the writer.
func Open(cfg Config) *Log {
	if cfg.Queue == 0 {
		cfg.Queue = defaultQueue
	}
	l := &Log{cfg: cfg, queue: make(chan *buffer.Buffer, cfg.Queue)}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.EncodeDuration = zapcore.MillisDurationEncoder
	l.logger = zap.New(&core{LevelEnabler: cfg.Level, log: l, encoder: zapcore.NewJSONEncoder(encoding)})
	l.wg.Add(1)
	go l.write()
	return l
}

// Logger returns the logger.
func (l *Log) Logger() *zap.Logger { return l.logger }

// Dropped returns the number of lines dropped since the last line on it.
func (l *Log) Dropped() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}

// add queues a line, or drops it.
func (l *Log) add(level zapcore.Level, line *buffer.Buffer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	room := cap(l.queue) - len(l.queue)
	if l.closed || room == 0 || level < zapcore.WarnLevel && room < cap(l.queue)/2 {
		l.dropped++
		line.Free()
		return
	}
	l.queue <- line
}

func (l *Log) write() {
	defer l.wg.Done()
	for line := range l.queue {
		// There is nowhere to report that the log itself cannot be written.
		_, _ = l.cfg.Out.Write(line.Bytes())
		line.Free()
		l.reportDropped()
	}
}

// reportDropped logs how many lines were dropped once there is room again.
func (l *Log) reportDropped() {
	l.mu.Lock()
	n := l.dropped
	quiet := n > 0 && len(l.queue) == 0
	if quiet {
		l.dropped = 0
	}
	l.mu.Unlock()
	if quiet {
		l.logger.Warn("log lines dropped", zap.Int("lines", n), zap.Time("until", time.Now()))
	}
}

// Close writes what waits and ends the writer.
func (l *Log) Close() error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return nil
	}
	l.closed = true
	close(l.queue)
	l.mu.Unlock()
	l.wg.Wait()
	return nil
}

// core encodes lines and queues them.
type core struct {
	zapcore.LevelEnabler
	log     *Log
	encoder zapcore.Encoder
}

// With returns a core whose lines have more fields.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	encoder := c.encoder.Clone()
	for _, f := range fields {
		f.AddTo(encoder)
	}
	return &core{LevelEnabler: c.LevelEnabler, log: c.log, encoder: encoder}
}

// Check adds the core to an entry that it logs.
func (c *core) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write queues an entry.
func (c *core) Write(e zapcore.Entry, fields []zapcore.Field) error {
	line, err := c.encoder.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	c.log.add(e.Level, line)
	return nil
}

// Sync does nothing: the writer is never waited for.
func (c *core) Sync() error { return nil }
