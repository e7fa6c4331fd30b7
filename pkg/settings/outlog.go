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
	// logBacklog is how many lines may wait to be written; further ones are dropped and counted.
	logBacklog = 4096
	// linesPerSecond bounds the lines of one kind in a second; further ones are dropped and counted.
	linesPerSecond = 200
)

// OutLog writes structured lines without ever blocking those who log.
type OutLog struct {
	// Dropped counts the lines that were not written.
	Dropped atomic.Int64

	lines chan []byte
	done  chan struct{}
}

// NewOutLog returns a log that writes JSON lines to w, and its logger.
func NewOutLog(w io.Writer, l Logging) (*OutLog, logr.Logger) {
	o := &OutLog{lines: make(chan []byte, logBacklog), done: make(chan struct{})}
	go o.write(w)
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder := zapcore.NewJSONEncoder(cfg)
	if l.Format == "console" {
		encoder = zapcore.NewConsoleEncoder(cfg)
	}
	core := zapcore.NewCore(encoder, o, zap.NewAtomicLevelAt(zapcore.Level(-l.Verbosity)))
	count := zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			o.Dropped.Add(1)
		}
	})
	return o, zapr.NewLogger(zap.New(zapcore.NewSamplerWithOptions(core, time.Second, linesPerSecond, 0, count)))
}

// Write takes a line, or drops it when too many wait.
func (o *OutLog) Write(b []byte) (int, error) {
	line := append([]byte(nil), b...)
	select {
	case o.lines <- line:
	default:
		o.Dropped.Add(1)
	}
	return len(b), nil
}

// Sync is there for the logger; lines are written as they come.
func (o *OutLog) Sync() error { return nil }

// Close writes what is waiting.
func (o *OutLog) Close() {
	close(o.lines)
	<-o.done
}

func (o *OutLog) write(w io.Writer) {
	defer close(o.done)
	for line := range o.lines {
		if _, err := w.Write(line); err != nil {
			o.Dropped.Add(1)
		}
	}
}
