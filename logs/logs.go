// Package logs makes the logger of a daemon: JSON lines whose volume is bounded, written
// without ever holding up the code that logs.
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
	// queueLines bounds the lines that wait for the writer.
	queueLines = 2048
	// reportInterval is how often dropped lines are reported.
	reportInterval = time.Second
)

// Config configures a logger.
type Config struct {
	Out io.Writer
	// Level is debug, info, warn or error.
	Level string
	// Rate is the most lines a second; further ones are dropped and counted. Warnings and
	// errors are not dropped for their rate. 0 means unbounded.
	Rate int
	// Dropped is told how many lines were dropped lately; it may be nil.
	Dropped func(int64)
}

// Logger is a zap logger whose lines pass through a bounded queue.
type Logger struct {
	*zap.Logger
	sink *sink
}

// New returns a logger. Close writes what is left.
func New(c Config) (*Logger, error) {
	level, err := zapcore.ParseLevel(c.Level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	s := &sink{
		out: c.Out, lines: make(chan []byte, queueLines), stop: make(chan struct{}), done: make(chan struct{}),
		dropped: c.Dropped,
	}
	go s.run()
	core := zapcore.NewCore(Encoder(), s, level)
	if c.Rate == 0 {
		return &Logger{Logger: zap.New(core), sink: s}, nil
	}
	bounded := &limited{Core: core, limit: &limit{rate: int64(c.Rate), sink: s}}
	return &Logger{Logger: zap.New(bounded), sink: s}, nil
}

// Encoder returns the encoder of all log lines of the project.
func Encoder() zapcore.Encoder {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.TimeEncoderOfLayout(time.RFC3339Nano)
	return zapcore.NewJSONEncoder(encoder)
}

// Close writes the lines that wait. Requests that are cut off at the end of a process may
// still log after it; their lines are lost.
func (l *Logger) Close() {
	close(l.sink.stop)
	<-l.sink.done
}

// sink writes lines in the background and drops them if the writer can't keep up.
type sink struct {
	out     io.Writer
	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
	lost    atomic.Int64
	dropped func(int64)
}

// Write implements io.Writer. It never blocks.
func (s *sink) Write(b []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), b...):
	default:
		s.lost.Add(1)
	}
	return len(b), nil
}

// Sync implements zapcore.WriteSyncer.
func (s *sink) Sync() error { return nil }

func (s *sink) run() {
	defer close(s.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		case <-s.stop:
			s.write(nil)
			return
		case <-ticker.C:
			if n := s.lost.Swap(0); n > 0 && s.dropped != nil {
				s.dropped(n)
			}
		}
	}
}

// write writes a line and those that wait behind it in one call.
func (s *sink) write(line []byte) {
	for range len(s.lines) {
		line = append(line, <-s.lines...)
	}
	// There is no other place to report a failure of the log itself.
	_, _ = s.out.Write(line)
}

// limit counts the lines of the current second.
type limit struct {
	rate   int64
	second atomic.Int64
	count  atomic.Int64
	sink   *sink
}

func (l *limit) allow(now time.Time) bool {
	second := now.Unix()
	if l.second.Swap(second) != second {
		l.count.Store(0)
	}
	if l.count.Add(1) <= l.rate {
		return true
	}
	l.sink.lost.Add(1)
	return false
}

// limited drops lines of low levels above the rate.
type limited struct {
	zapcore.Core
	limit *limit
}

// With implements zapcore.Core.
func (l *limited) With(fields []zapcore.Field) zapcore.Core {
	return &limited{Core: l.Core.With(fields), limit: l.limit}
}

// Check implements zapcore.Core.
func (l *limited) Check(e zapcore.Entry, c *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !l.Enabled(e.Level) || e.Level < zapcore.WarnLevel && !l.limit.allow(e.Time) {
		return c
	}
	return c.AddCore(e, l)
}
