package memory

import (
	"errors"
	"io"
)

// InitialBuffer is the memory in bytes for a body of which nothing has arrived. It is enough for most
// bodies. For larger ones the buffer is doubled as bytes arrive, so that a declared length alone
// reserves no more memory.
const InitialBuffer = 32 << 10

var (
	// ErrNoMemory means that others use the budget, or that the reservation was evicted.
	ErrNoMemory = errors.New("no memory for the body")
	// ErrTooLarge means that a body is above its own limit.
	ErrTooLarge = errors.New("the body is above the limit")
)

// ReadBody reads a body of length bytes, or up to its end if length is negative, and at most limit bytes. It
// reserves memory as the buffer grows. Other errors than ErrNoMemory and ErrTooLarge are those of the
// source; a source that ends before length bytes returns io.ErrUnexpectedEOF.
func ReadBody(src io.Reader, length, limit int, r *Reservation) ([]byte, error) {
	maxLen, initial := length, InitialBuffer
	if length < 0 {
		maxLen = limit + 1 // one more byte shows that the body is too large
		initial = tinyBody
	}
	if maxLen > limit+1 {
		return nil, ErrTooLarge
	}
	var buf []byte
	progress := 0
	for {
		if len(buf) == cap(buf) && len(buf) < maxLen {
			size := min(maxLen, max(initial, 2*cap(buf)))
			if !r.Grow(size - cap(buf)) {
				return nil, ErrNoMemory
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		n, err := src.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if len(buf)-progress >= progressStep {
			progress = len(buf)
			r.Progress()
		}
		switch {
		case len(buf) > limit:
			return nil, ErrTooLarge
		case length >= 0 && len(buf) == length, errors.Is(err, io.EOF) && length < 0:
			if !r.Keep() {
				return nil, ErrNoMemory
			}
			return buf, nil
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
}
