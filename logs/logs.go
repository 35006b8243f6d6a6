// Package logs provides the logger of the daemons. It writes rate-limited JSON lines in the
// background and never blocks the code that logs.
package logs

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queueCapacity is the maximum number of lines that wait for the writer.
	queueCapacity = 2048
	// reportInterval is the interval between reports of dropped lines.
	reportInterval = time.Second
)

// Config configures a logger.
type Config struct {
	Out io.Writer
	// Level is debug, info, warn or error.
	Level string
	// Rate is the maximum number of lines per second; further lines are dropped and counted.
	// It does not apply to warnings and errors. 0 means unlimited.
	Rate int
	// Dropped is called with the number of lines dropped since its last call; it may be nil.
	Dropped func(int64)
}

// Logger is a zap logger that writes through a bounded queue.
type Logger struct {
	*zap.Logger
	writer *asyncWriter
}

// New returns a logger, or an error if the level is unknown. Close flushes the queue.
func New(config Config) (*Logger, error) {
	level, err := zapcore.ParseLevel(config.Level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	writer := &asyncWriter{
		out: config.Out, lines: make(chan []byte, queueCapacity), stop: make(chan struct{}), done: make(chan struct{}),
		onDropped: config.Dropped,
	}
	go writer.run()
	core := zapcore.NewCore(Encoder(), writer, level)
	if config.Rate == 0 {
		return &Logger{Logger: zap.New(core), writer: writer}, nil
	}
	bounded := &rateLimitedCore{Core: core, limit: &rateLimiter{rate: int64(config.Rate), writer: writer}}
	return &Logger{Logger: zap.New(bounded), writer: writer}, nil
}

// Encoder returns the encoder of all log lines: JSON with RFC 3339 timestamps.
func Encoder() zapcore.Encoder {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.TimeEncoderOfLayout(time.RFC3339Nano)
	return zapcore.NewJSONEncoder(encoder)
}

// Close writes the queued lines. Logging after Close is safe, as aborted requests may do at
// the end of a process, but the lines are lost.
func (l *Logger) Close() {
	close(l.writer.stop)
	<-l.writer.done
}

// asyncWriter writes lines in the background and drops lines if its queue is full.
type asyncWriter struct {
	out          io.Writer
	lines        chan []byte
	stop         chan struct{}
	done         chan struct{}
	droppedLines atomic.Int64
	onDropped    func(int64)
}

// Write implements io.Writer. It never blocks and never returns an error.
func (w *asyncWriter) Write(b []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		w.droppedLines.Add(1)
	}
	return len(b), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *asyncWriter) Sync() error { return nil }

func (w *asyncWriter) run() {
	defer close(w.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.stop:
			w.write(nil)
			return
		case <-ticker.C:
			if n := w.droppedLines.Swap(0); n > 0 && w.onDropped != nil {
				w.onDropped(n)
			}
		}
	}
}

// write writes a line and all queued lines in one call.
func (w *asyncWriter) write(line []byte) {
	for range len(w.lines) {
		line = append(line, <-w.lines...)
	}
	// A failure of the log output can't be reported anywhere else.
	_, _ = w.out.Write(line)
}

// rateLimiter counts the lines of the current second.
type rateLimiter struct {
	rate          int64
	currentSecond atomic.Int64
	count         atomic.Int64
	writer        *asyncWriter
}

func (l *rateLimiter) allow(now time.Time) bool {
	second := now.Unix()
	if l.currentSecond.Swap(second) != second {
		l.count.Store(0)
	}
	if l.count.Add(1) <= l.rate {
		return true
	}
	l.writer.droppedLines.Add(1)
	return false
}

// rateLimitedCore drops lines below level warn that exceed the rate.
type rateLimitedCore struct {
	zapcore.Core
	limit *rateLimiter
}

// With implements zapcore.Core.
func (l *rateLimitedCore) With(fields []zapcore.Field) zapcore.Core {
	return &rateLimitedCore{Core: l.Core.With(fields), limit: l.limit}
}

// Check implements zapcore.Core.
func (l *rateLimitedCore) Check(e zapcore.Entry, c *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !l.Enabled(e.Level) || e.Level < zapcore.WarnLevel && !l.limit.allow(e.Time) {
		return c
	}
	return c.AddCore(e, l)
}
