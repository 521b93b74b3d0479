// Package logfmt provides loggers that write each entry as one line of
// key=value pairs, and a non-blocking writer for them.
package logfmt

import (
	"io"
	"log/slog"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/juju/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/exp/zapslog"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes entries of at least the given level (debug,
// info, warn or error) to w.
func New(level string, w io.Writer) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.NewNotValid(err, "log level")
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.TimeKey = "time"
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(encoding), zapcore.Lock(zapcore.AddSync(w)), parsed)
	return zap.New(core), nil
}

// Standard returns an slog.Logger that writes to logger, for libraries that
// take one.
func Standard(logger *zap.Logger) *slog.Logger {
	return slog.New(zapslog.NewHandler(logger.Core()))
}
