package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what happens to a file, with the time since its start.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	w    *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

// line writes one event.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// An error shows as a record that ends early.
	_, _ = fmt.Fprintf(r.w, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// note writes an event to the record and to the standard output.
func (r *record) note(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush() // as for line
	r.file.Close()
}
