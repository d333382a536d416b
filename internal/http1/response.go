package http1

import (
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
	"golang.org/x/sys/unix"

	"github.com/fireflypath/fireflypath"
)

// Framing tells how the end of a response body is marked.
type Framing int

const (
	// FramingClose means that the body ends with its connection. A body that was broken off looks
	// the same, unless the connection was reset.
	FramingClose Framing = iota
	// FramingLength means that the length was given in advance, or that there is no body.
	FramingLength
	// FramingChunked means that the body ends with its last chunk.
	FramingChunked
)

// String returns the name that is used in logs.
func (f Framing) String() string {
	return [...]string{"close", "length", "chunked"}[f]
}

// framingOf returns the framing of a response to a request with the given method.
func framingOf(method string, resp *http.Response) Framing {
	switch {
	case method == http.MethodHead || resp.ContentLength >= 0:
		return FramingLength
	case len(resp.TransferEncoding) > 0:
		return FramingChunked
	}
	return FramingClose
}

// Response is a response whose body is read from its connection. It must be used by one
// goroutine only.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the length of the body, or -1 if it is not known in advance.
	ContentLength int64

	client    *Client
	endpoint  endpoint
	target    fireflypath.Target
	conn      *conn
	stopWatch func() bool
	httpResp  *http.Response
	// bodyWritten is closed once a request body that is written concurrently with
	// reading the response has been written or has failed with writeErr. It is nil
	// for a body that was written before.
	bodyWritten chan struct{}
	writeErr    error
	complete    bool
	framing     Framing
	closed      bool
}

// write writes the request. A large body is written concurrently with reading the
// response, because a target may respond before it has read the whole body.
func (resp *Response) write(req *Request) error {
	b := req.encodeHead()
	if len(req.Body) <= maxInlineBody {
		_, err := resp.conn.Write(append(b, req.Body...))
		return err
	}
	if _, err := resp.conn.Write(b); err != nil {
		return err
	}
	resp.bodyWritten = make(chan struct{})
	go func() {
		defer close(resp.bodyWritten)
		_, resp.writeErr = resp.conn.Write(req.Body)
	}()
	return nil
}

// encodeHead returns the request line and the header.
func (r *Request) encodeHead() []byte {
	b := make([]byte, 0, requestHeadSize+min(len(r.Body), maxInlineBody))
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

// readHeader reads the header of the response. Responses to other requests that arrive
// before it are discarded: a target may send a response twice or late. One without an id may be
// to any request.
func (resp *Response) readHeader(req *Request) error {
	httpReq := &http.Request{Method: req.Method}
	for range maxMismatched {
		httpResp, err := resp.readOneHeader(httpReq) //nolint:bodyclose // the connection is closed instead, by Close
		if err != nil {
			return err
		}
		if httpResp.StatusCode < http.StatusOK {
			continue
		}
		if httpResp.Header.Get(resp.client.idHeader) == req.ID {
			resp.setHeader(req.Method, httpResp)
			return nil
		}
		if framingOf(req.Method, httpResp) == FramingClose {
			return fireflypath.ErrRequestMismatch
		}
		if err := resp.discardMismatched(httpResp.Body); err != nil {
			return errors.Mark(err, fireflypath.ErrRequestMismatch)
		}
	}
	return fireflypath.ErrRequestMismatch
}

// readOneHeader reads the header of the next response on the connection.
func (resp *Response) readOneHeader(req *http.Request) (*http.Response, error) {
	resp.conn.head.begin()
	httpResp, err := http.ReadResponse(resp.conn.reader, req)
	if err != nil {
		return nil, shortened(err)
	}
	if err := checkHead(httpResp); err != nil {
		return nil, shortened(err)
	}
	return httpResp, resp.conn.head.end()
}

// minStatus is the lowest status of HTTP.
const minStatus = 100

// errMalformed means that what a target sent is no answer in HTTP.
var errMalformed = errors.New("answer is malformed")

// checkHead reports what the library lets pass. A target in trouble sends such heads. Passed on, they look
// like an answer; and a field whose name ends in a blank, such as a length, frames the body for others and
// not for this daemon.
func checkHead(r *http.Response) error {
	if r.StatusCode < minStatus || r.StatusCode == http.StatusSwitchingProtocols {
		return errors.Wrapf(errMalformed, "status %03d", r.StatusCode)
	}
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(errMalformed, "name of field %q", name)
		}
	}
	return nil
}

// maxErrorText bounds the text of an error that quotes what a target has sent, in bytes.
const maxErrorText = 200

// shortened bounds the text of an error. It ends up in log lines and in answers to callers.
func shortened(err error) error {
	text := err.Error()
	if len(text) <= maxErrorText {
		return err
	}
	return errors.Newf("%s ... (%d bytes)", text[:maxErrorText], len(text))
}

// discardMismatched reads the body of a response to another request. It gives up on one that does not
// end soon: the caller would wait for it until its own time is over.
func (resp *Response) discardMismatched(body io.Reader) error {
	if err := resp.conn.SetReadDeadline(resp.client.clock.Now().Add(mismatchTimeout)); err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxMismatchedBody))
	if err != nil {
		return err
	}
	if n == maxMismatchedBody {
		return errors.Newf("body of an answer to another request is above %d bytes", maxMismatchedBody)
	}
	return resp.conn.SetReadDeadline(time.Time{})
}

func (resp *Response) setHeader(method string, httpResp *http.Response) {
	resp.httpResp = httpResp
	resp.Status = httpResp.StatusCode
	resp.Header = httpResp.Header
	resp.ContentLength = httpResp.ContentLength
	resp.framing = framingOf(method, httpResp)
	resp.complete = httpResp.ContentLength == 0 || method == http.MethodHead
}

// Read reads from the body. It returns io.EOF only after the complete body, or, with
// FramingClose, once the target closed the connection.
func (resp *Response) Read(b []byte) (int, error) {
	if resp.complete {
		return 0, io.EOF
	}
	n, err := resp.httpResp.Body.Read(b)
	switch {
	case errors.Is(err, io.EOF):
		resp.complete = true
	case errors.Is(err, io.ErrUnexpectedEOF):
		err = errors.Mark(resp.reportLoss(err), fireflypath.ErrTruncated)
	case err != nil:
		err = resp.reportLoss(err)
	}
	return n, err
}

// BrokenOff returns the error of a body whose content shows that the target broke it off, although it
// ended in order. If it ended with its connection, that was the loss of the connection.
func (resp *Response) BrokenOff(cause error) error {
	err := errors.Mark(cause, fireflypath.ErrTruncated)
	if resp.framing != FramingClose {
		return err
	}
	return resp.reportLoss(errors.Mark(err, io.ErrUnexpectedEOF))
}

// reportLoss reports a lost connection to the dialer and marks the error if the target did not cause
// it.
func (resp *Response) reportLoss(err error) error {
	if !isLoss(err) {
		return err
	}
	dialer := resp.client.dialer
	ended := !errors.Is(err, unix.ETIMEDOUT) && dialer.IsDirect(resp.conn.Conn)
	if !dialer.ReportLoss(resp.conn.Conn, resp.target) {
		err = errors.Mark(err, ErrPathLost)
	}
	if ended {
		err = errors.Mark(err, errEnded)
	}
	return err
}

// Framing returns how the end of the body is marked.
func (resp *Response) Framing() Framing {
	return resp.framing
}

// Close returns the connection to the pool if the complete response was read, and
// otherwise closes it.
func (resp *Response) Close() {
	if resp.closed {
		return
	}
	resp.closed = true
	contextAlive := resp.stopWatch()
	if !resp.reusable() || !contextAlive {
		resp.conn.Close()
		return
	}
	resp.conn.closesAt = keepAliveDeadline(resp.Header, resp.client.clock.Now())
	resp.client.push(resp.endpoint, resp.conn)
}

// BodyWritten reports whether the request body is no longer used.
func (resp *Response) BodyWritten() bool {
	if resp.bodyWritten == nil {
		return true
	}
	select {
	case <-resp.bodyWritten:
		return true
	default:
		return false
	}
}

// reusable reports whether the connection can carry another request: the response was
// read and the request body written completely, and no further bytes arrived.
func (resp *Response) reusable() bool {
	if resp.httpResp == nil || !resp.complete || resp.framing == FramingClose || resp.httpResp.Close || resp.conn.reader.Buffered() > 0 {
		return false
	}
	// A target that responded early may still read the rest of the body, so that nothing else may be
	// written to the connection.
	return resp.bodyWritten == nil || resp.BodyWritten() && resp.writeErr == nil
}

// SetReadDeadline sets the deadline of future reads; a zero time removes it.
func (resp *Response) SetReadDeadline(t time.Time) error {
	return resp.conn.SetReadDeadline(t)
}

// CanonicalHeader returns the canonical form of a header name, which is the one to
// compare.
func CanonicalHeader(name string) string {
	return textproto.CanonicalMIMEHeaderKey(name)
}
