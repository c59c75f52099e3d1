package logs

import (
	"io"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/buffer"
	"go.uber.org/zap/zapcore"
)

// defaultQueueSize is the default capacity of the queue in lines.
const defaultQueueSize = 2048

// Config configures a Log.
type Config struct {
	Out   io.Writer
	Level zapcore.Level
	// QueueSize is the capacity of the queue in lines; 0 means 2048.
	QueueSize int
}

// Log queues log lines for a goroutine that writes them. It is safe for
// concurrent use.
type Log struct {
	cfg     Config
	logger  *zap.Logger
	queue   chan *buffer.Buffer
	mu      sync.Mutex
	closed  bool
	dropped int
	wg      sync.WaitGroup
}

// Open returns a Log and starts its writing goroutine.
func Open(cfg Config) *Log {
	if cfg.QueueSize == 0 {
		cfg.QueueSize = defaultQueueSize
	}
	l := &Log{cfg: cfg, queue: make(chan *buffer.Buffer, cfg.QueueSize)}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.EncodeDuration = zapcore.MillisDurationEncoder
	l.logger = zap.New(&core{LevelEnabler: cfg.Level, log: l, encoder: zapcore.NewJSONEncoder(encoding)})
	l.wg.Add(1)
	go l.write()
	return l
}

// Logger returns the zap logger whose lines the Log writes.
func (l *Log) Logger() *zap.Logger { return l.logger }

// Dropped returns the number of lines dropped since the last "log lines dropped"
// line.
func (l *Log) Dropped() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}

// enqueue queues a line, or drops it if there is too little room for its level.
func (l *Log) enqueue(level zapcore.Level, line *buffer.Buffer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	free := cap(l.queue) - len(l.queue)
	if l.closed || free == 0 || level < zapcore.WarnLevel && free < cap(l.queue)/2 {
		l.dropped++
		line.Free()
		return
	}
	l.queue <- line
}

// write writes queued lines until the Log is closed.
func (l *Log) write() {
	defer l.wg.Done()
	for line := range l.queue {
		// There is nowhere to report that the log itself cannot be written.
		_, _ = l.cfg.Out.Write(line.Bytes())
		line.Free()
		l.reportDropped()
	}
}

// reportDropped logs how many lines were dropped, once the queue is empty again.
func (l *Log) reportDropped() {
	l.mu.Lock()
	n := l.dropped
	report := n > 0 && len(l.queue) == 0
	if report {
		l.dropped = 0
	}
	l.mu.Unlock()
	if report {
		l.logger.Warn("log lines dropped", zap.Int("lines", n), zap.Time("until", time.Now()))
	}
}

// Close writes the queued lines and stops the writing goroutine.
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

// core is a zapcore.Core that encodes entries and queues them.
type core struct {
	zapcore.LevelEnabler
	log     *Log
	encoder zapcore.Encoder
}

// With returns a core that adds fields to each entry.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	encoder := c.encoder.Clone()
	for _, f := range fields {
		f.AddTo(encoder)
	}
	return &core{LevelEnabler: c.LevelEnabler, log: c.log, encoder: encoder}
}

// Check adds the core to checked if the entry's level is enabled.
func (c *core) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write encodes an entry and queues it.
func (c *core) Write(e zapcore.Entry, fields []zapcore.Field) error {
	line, err := c.encoder.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	c.log.enqueue(e.Level, line)
	return nil
}

// Sync does nothing, so that callers never wait for the output.
func (c *core) Sync() error { return nil }
