package http1

import (
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
)

// Response is an answer being read. It is used by one goroutine.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the body's length, or -1 if only its end will tell.
	ContentLength int64

	client *Client
	peer   peer
	conn   *conn
	stop   func() bool
	resp   *http.Response
	// writing is closed when a body that is written beside the answer is done.
	writing chan struct{}
	failed  error
	whole   bool
	// bounded is true if the body has a length or chunks: else its end is the
	// connection's.
	bounded bool
	closed  bool
}

// write sends the request. A large body is written beside the reading of the
// answer: a target may answer before it has read all of it.
func (a *Response) write(r *Request) error {
	b := r.head()
	if len(r.Body) <= whole {
		_, err := a.conn.Write(append(b, r.Body...))
		return err
	}
	if _, err := a.conn.Write(b); err != nil {
		return err
	}
	a.writing = make(chan struct{})
	go func() {
		defer close(a.writing)
		_, a.failed = a.conn.Write(r.Body)
	}()
	return nil
}

// head is the request line and the header.
func (r *Request) head() []byte {
	b := make([]byte, 0, headSize+min(len(r.Body), whole))
	b = append(b, r.Method+" "+r.URI+" HTTP/1.1\r\nHost: "+r.Host+"\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name+": "+v+"\r\n"...)
		}
	}
	if r.HasBody || len(r.Body) > 0 {
		b = append(b, "Content-Length: "+strconv.Itoa(len(r.Body))+"\r\n"...)
	}
	return append(b, "\r\n"...)
}

// readHeader reads the answer's header. Answers of other requests that come
// first are read past: the target sent one twice, or late.
func (a *Response) readHeader(r *Request) error {
	req := &http.Request{Method: r.Method}
	for range maxCrossed {
		resp, err := http.ReadResponse(a.conn.reader, req) //nolint:bodyclose // the connection is closed instead, by Close
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		id := resp.Header.Get(a.client.id)
		if id == "" || id == r.ID {
			a.accept(resp)
			return nil
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return fireflypath.ErrRequestMismatch
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return errors.Mark(err, fireflypath.ErrRequestMismatch)
		}
	}
	return fireflypath.ErrRequestMismatch
}

func (a *Response) accept(resp *http.Response) {
	a.resp = resp
	a.Status = resp.StatusCode
	a.Header = resp.Header
	a.ContentLength = resp.ContentLength
	a.bounded = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	a.whole = resp.ContentLength == 0
}

// Read reads the body. It returns io.EOF only after the whole body.
func (a *Response) Read(b []byte) (int, error) {
	if a.whole {
		return 0, io.EOF
	}
	n, err := a.resp.Body.Read(b)
	switch {
	case errors.Is(err, io.EOF):
		a.whole = true
	case errors.Is(err, io.ErrUnexpectedEOF):
		err = errors.Mark(err, fireflypath.ErrTruncated)
	}
	return n, err
}

// SelfDelimited is false for a body that ends with its connection.
func (a *Response) SelfDelimited() bool {
	return a.bounded
}

// Close gives the connection back if the whole answer was read, else closes it.
func (a *Response) Close() {
	if a.closed {
		return
	}
	a.closed = true
	alive := a.stop()
	if !a.reusable() || !alive {
		a.conn.Close()
		return
	}
	a.conn.until = keepAlive(a.Header, a.client.clock.Now())
	a.client.push(a.peer, a.conn)
}

// reusable is true if the connection is between two answers: the answer was
// read to its end, the body was written to its end, and nothing came besides.
func (a *Response) reusable() bool {
	if a.resp == nil || !a.whole || !a.bounded || a.resp.Close || a.conn.reader.Buffered() > 0 {
		return false
	}
	if a.writing == nil {
		return true
	}
	select {
	case <-a.writing:
		return a.failed == nil
	default:
		// The target answered early and may read the rest: only the rest of this
		// body may follow on the connection, so it is not used again.
		return false
	}
}

// SetReadDeadline bounds the reads to come; zero takes the bound back.
func (a *Response) SetReadDeadline(t time.Time) error {
	return a.conn.SetReadDeadline(t)
}

// CanonicalHeader is the form in which header names are compared.
func CanonicalHeader(name string) string {
	return textproto.CanonicalMIMEHeaderKey(name)
}
