package logs_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath/internal/logs"
)

// blockedWriter blocks each write until unblocked is closed.
type blockedWriter struct {
	unblocked chan struct{}
	mu        sync.Mutex
	buf       bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.unblocked
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(b)
}

// The reader of the log stops reading. Lines must be dropped and counted: if writers
// waited for the output, all requests would be blocked.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{unblocked: make(chan struct{})}
	w := logs.NewWriter(out)
	line := []byte(strings.Repeat("x", 999) + "\n")
	for range 2000 {
		_, err := w.Write(line)
		is.NoErr(err)
	}
	is.True(w.Dropped() > 0)
	close(out.unblocked)
	is.NoErr(w.Close())
	written := strings.Count(out.buf.String(), "\n")
	is.Equal(int64(written)+w.Dropped(), int64(2000))
}

func TestLinesAreWritten(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{unblocked: make(chan struct{})}
	close(out.unblocked)
	w := logs.NewWriter(out)
	logs.New(w, zap.InfoLevel).Info("hello", zap.Int("n", 3))
	is.NoErr(w.Close())
	is.True(strings.Contains(out.buf.String(), `"msg":"hello","n":3`))
}

// pipeReader keeps at most the first 4,096 bytes of a write, as a reader of a pipe may.
type pipeReader struct{ bytes.Buffer }

func (r *pipeReader) Write(b []byte) (int, error) {
	_, _ = r.Buffer.Write(b[:min(len(b), 4096)])
	return len(b), nil
}

// Guards against lost lines of a busy daemon: what reads its log keeps only the first part of a large
// write, and the requests of the rest look as if they had never been served.
func TestManyLinesArriveWhole(t *testing.T) {
	is := is.New(t)
	out := &pipeReader{}
	w := logs.NewWriter(out)
	var want strings.Builder
	for i := range 200 {
		line := strings.Repeat("x", 100+i*7%900) + "\n"
		want.WriteString(line)
		_, err := w.Write([]byte(line))
		is.NoErr(err)
	}
	is.NoErr(w.Close())
	is.Equal(out.String(), want.String())
}
