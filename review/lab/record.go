package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the seconds since its start. It is safe for
// concurrent use.
type record struct {
	start time.Time

	mu sync.Mutex
	w  *bufio.Writer
}

func newRecord(w io.Writer) *record {
	return &record{start: time.Now(), w: bufio.NewWriter(w)}
}

// line writes one line.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A record that cannot be written shows no fault of the daemons.
	_, _ = fmt.Fprintf(r.w, "%9.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// note writes a line to the record and to standard output.
func (r *record) note(format string, args ...any) {
	r.line(format, args...)
	_, _ = fmt.Fprintf(os.Stdout, "%9.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// at returns a time as the seconds since the start.
func (r *record) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }

func (r *record) flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
}
