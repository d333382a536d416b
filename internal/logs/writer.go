// Package logs writes log lines without ever making their writers wait.
package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// buffer bounds the lines that wait to be written: about two seconds of a
	// daemon at 57 requests a second, three lines each, at 500 bytes.
	buffer = 256 << 10
	// flushEvery is how long a line waits at most while nothing else is written.
	// Lines written together cost one call of the kernel.
	flushEvery = 200 * time.Millisecond
)

// Writer collects lines and writes them in the background. When the reader of
// the log is slower than its writers, lines are dropped and counted: a daemon
// that waited for its log would hold up all requests.
type Writer struct {
	out io.Writer

	mu   sync.Mutex
	buf  []byte
	back []byte
	wake chan struct{}

	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewWriter starts a writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes a line, or drops it if too many wait.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.buf)+len(line) > buffer {
		w.mu.Unlock()
		w.dropped.Add(1)
		return len(line), nil
	}
	w.buf = append(w.buf, line...)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync writes what waits.
func (w *Writer) Sync() error {
	w.flush()
	return nil
}

// Dropped is the number of lines dropped since the start.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Close writes what waits and ends the writer.
func (w *Writer) Close() error {
	w.once.Do(func() { close(w.stop) })
	<-w.done
	return nil
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case <-w.stop:
			w.flush()
			return
		case <-w.wake:
		}
		w.flush()
		select {
		case <-w.stop:
		case <-time.After(flushEvery):
		}
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	out := w.buf
	w.buf = w.back[:0]
	w.back = nil
	w.mu.Unlock()
	if len(out) > 0 {
		// The log's own failure has nowhere to be told.
		_, _ = w.out.Write(out)
	}
	w.mu.Lock()
	w.back = out[:0]
	w.mu.Unlock()
}

// New makes a logger of JSON lines to w.
func New(w *Writer, level zapcore.Level) *zap.Logger {
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	enc.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), w, level)
	return zap.New(core)
}
