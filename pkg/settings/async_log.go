package settings

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxPendingLines bounds the lines that wait to be written; further ones are dropped and counted.
	maxPendingLines = 4096
	// maxLinesPerSecond bounds the lines with the same message and level; further ones are dropped and counted.
	maxLinesPerSecond = 200
)

// AsyncLog writes log lines in the background: it drops and counts lines instead of blocking the callers of the logger.
type AsyncLog struct {
	// Dropped counts the lines that were sampled out, did not fit in the buffer or failed to be written.
	Dropped atomic.Int64

	lines chan []byte
	done  chan struct{}
}

// NewAsyncLog returns a log that writes to w until Close, and its logger in the configured format and verbosity.
func NewAsyncLog(w io.Writer, l Logging) (*AsyncLog, logr.Logger) {
	a := &AsyncLog{lines: make(chan []byte, maxPendingLines), done: make(chan struct{})}
	go a.write(w)
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder := zapcore.NewJSONEncoder(cfg)
	if l.Format == "console" {
		encoder = zapcore.NewConsoleEncoder(cfg)
	}
	core := zapcore.NewCore(encoder, a, zap.NewAtomicLevelAt(zapcore.Level(-l.Verbosity)))
	countDropped := zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			a.Dropped.Add(1)
		}
	})
	return a, zapr.NewLogger(zap.New(zapcore.NewSamplerWithOptions(core, time.Second, maxLinesPerSecond, 0, countDropped)))
}

// Write queues a copy of a line, or drops it when the buffer is full; it never fails.
func (a *AsyncLog) Write(b []byte) (int, error) {
	line := append([]byte(nil), b...)
	select {
	case a.lines <- line:
	default:
		a.Dropped.Add(1)
	}
	return len(b), nil
}

// Sync does nothing: queued lines are written as soon as possible, and Close waits for them.
func (a *AsyncLog) Sync() error { return nil }

// Close waits until all queued lines are written; nothing may be logged after it.
func (a *AsyncLog) Close() {
	close(a.lines)
	<-a.done
}

func (a *AsyncLog) write(w io.Writer) {
	defer close(a.done)
	for line := range a.lines {
		if _, err := w.Write(line); err != nil {
			a.Dropped.Add(1)
		}
	}
}
