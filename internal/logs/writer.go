// Package logs writes log lines in the background, so that logging never blocks.
package logs

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxBufferedBytes limits the lines that are not written yet. It is enough for
	// about three seconds of a daemon that serves 57 requests a second and logs three
	// lines of 500 bytes for each.
	maxBufferedBytes = 256 << 10
	// maxWriteBytes bounds a single write. Up to PIPE_BUF, 4,096 bytes on Linux, a write to a pipe is
	// atomic. Of a longer one, what reads the log may get or keep a part only.
	maxWriteBytes = 4096
	// flushInterval is the time between two flushes, and thus the longest that a line
	// waits unless the output blocks. Lines that are logged in between are written
	// together, with a system call for each maxWriteBytes.
	flushInterval = 200 * time.Millisecond
)

// Writer buffers lines and writes them in the background. If the output is slower than
// the writers, lines are dropped and counted, because a daemon that waited for its log
// would delay all requests.
type Writer struct {
	out io.Writer

	mu    sync.Mutex
	buf   []byte
	spare []byte
	wake  chan struct{}

	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewWriter returns a Writer that writes to out. It must be closed.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers a line, or drops it if the buffer is full.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.buf)+len(line) > maxBufferedBytes {
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

// Sync writes the buffered lines.
func (w *Writer) Sync() error {
	w.flush()
	return nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Close writes the buffered lines and stops the writer.
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
		case <-time.After(flushInterval):
		}
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines := w.buf
	w.buf = w.spare[:0]
	w.spare = nil
	w.mu.Unlock()
	if len(lines) > 0 {
		writeLines(w.out, lines)
	}
	w.mu.Lock()
	w.spare = lines[:0]
	w.mu.Unlock()
}

// writeLines writes whole lines, as many at a time as maxWriteBytes allows. A longer line is written alone.
func writeLines(out io.Writer, lines []byte) {
	for len(lines) > 0 {
		n := nextWrite(lines)
		// An error of the log's own output cannot be reported anywhere.
		_, _ = out.Write(lines[:n])
		lines = lines[n:]
	}
}

// nextWrite returns the number of bytes to write next.
func nextWrite(lines []byte) int {
	if len(lines) <= maxWriteBytes {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:maxWriteBytes], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return end + 1
	}
	return len(lines)
}

// New returns a logger that writes JSON lines to w.
func New(w *Writer, level zapcore.Level) *zap.Logger {
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	enc.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), w, level)
	return zap.New(core)
}
