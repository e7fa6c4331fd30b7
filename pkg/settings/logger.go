package settings

import (
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes to standard error in the configured format and verbosity.
func NewLogger(l Logging) (logr.Logger, error) {
	cfg := zap.NewProductionConfig()
	if l.Format == "console" {
		cfg = zap.NewDevelopmentConfig()
		cfg.Development = false
	}
	cfg.Level = zap.NewAtomicLevelAt(zapcore.Level(-l.Verbosity))
	cfg.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	cfg.DisableStacktrace = true
	cfg.DisableCaller = true
	z, err := cfg.Build()
	if err != nil {
		return logr.Discard(), errors.Wrap(err, "logger")
	}
	return zapr.NewLogger(z), nil
}
