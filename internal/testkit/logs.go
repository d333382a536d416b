package testkit

import (
	"bytes"
	"sync"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Logs collects the log lines of the daemons of a test, in the order in which they were written.
type Logs struct {
	core zapcore.Core

	mu    sync.Mutex
	lines bytes.Buffer
}

// NewLogs returns Logs that are printed if the test fails. It must be called before the daemons are
// started, so that their last lines are printed too.
func NewLogs(t testing.TB) *Logs {
	l := &Logs{}
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.ISO8601TimeEncoder
	enc.EncodeDuration = zapcore.StringDurationEncoder
	l.core = zapcore.NewCore(zapcore.NewJSONEncoder(enc), zapcore.AddSync(l), zap.InfoLevel)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("log lines of the daemons:\n%s", l)
		}
	})
	return l
}

// Logger returns a logger whose lines name the daemon.
func (l *Logs) Logger(daemon string) *zap.Logger {
	return zap.New(l.core).Named(daemon)
}

// Write appends a line.
func (l *Logs) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.Write(line)
}

// String returns all lines.
func (l *Logs) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.String()
}
