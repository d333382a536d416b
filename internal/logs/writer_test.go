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
