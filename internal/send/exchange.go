package send

import (
	"bufio"
	"io"
	"net/http/httputil"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath"
)

// chunkEndTimeout bounds the read of the last chunk of a previous response, which has usually
// arrived long before.
const chunkEndTimeout = 5 * time.Millisecond

// Exchange is one request and its response. It must be used by one goroutine only.
type Exchange struct {
	// Header is the header of the response.
	Header fasthttp.ResponseHeader

	client        *fasthttp.HostClient
	conn          *conn
	release       func(keep bool)
	stopWatch     func() bool
	writtenBefore int64
	reader        *bufio.Reader
	body          io.Reader
	// remaining counts down the bytes of a body with a Content-Length; chunked is true
	// for a chunked body.
	remaining int
	chunked   bool
	complete  bool
	closed    bool
	// unpooled is true for a connection that is closed after the exchange.
	unpooled bool
	// contextAlive is true if the exchange was detached from its context before the end
	// of the context closed the connection.
	contextAlive bool
	// noBody is true for a response to HEAD.
	noBody bool
}

func (x *Exchange) connect(addr string, readTimeout time.Duration, newConn bool) error {
	if x.unpooled = newConn; newConn {
		c, err := dial(addr, readTimeout)
		x.conn = c
		x.release = func(bool) { c.Close() }
		return err
	}
	release, c, err := acquire(x.client)
	x.release = release
	x.conn = c
	return err
}

func (x *Exchange) write(req *fasthttp.Request) error {
	x.writtenBefore = x.conn.written.Load()
	if err := x.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	w := x.client.AcquireWriter(x.conn)
	defer x.client.ReleaseWriter(w)
	return writeRequest(w, req)
}

func (x *Exchange) readHeader() error {
	x.reader = x.client.AcquireReader(x.conn)
	if err := checkHead(x.reader); err != nil {
		return err
	}
	if err := x.Header.Read(x.reader); err != nil {
		return err
	}
	switch n := x.Header.ContentLength(); {
	case x.noBody || x.Header.StatusCode() == fasthttp.StatusNoContent || x.Header.StatusCode() == fasthttp.StatusNotModified:
		x.complete = true
	case n >= 0:
		x.remaining = n
		x.body = x.reader
		x.complete = n == 0
	case n == -1:
		x.chunked = true
		x.body = httputil.NewChunkedReader(x.reader)
	default:
		// A body that ends when the connection closes cannot be told from a truncated one.
		return errors.Wrap(fireflypath.ErrTruncated, "answer without a length")
	}
	return nil
}

// Length returns the length of the body, or -1 if it is not known in advance.
func (x *Exchange) Length() int {
	return x.Header.ContentLength()
}

// Read reads from the body. It returns io.EOF only after the complete body.
func (x *Exchange) Read(b []byte) (int, error) {
	if x.complete {
		return 0, io.EOF
	}
	if x.chunked {
		return x.readChunked(b)
	}
	if len(b) > x.remaining {
		b = b[:x.remaining]
	}
	n, err := x.body.Read(b)
	x.remaining -= n
	if x.remaining == 0 {
		x.complete = true
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		err = fireflypath.ErrTruncated
	}
	return n, err
}

func (x *Exchange) readChunked(b []byte) (int, error) {
	n, err := x.body.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, asTruncated(err)
	}
	if err := x.readTrailer(); err != nil {
		return n, asTruncated(err)
	}
	x.complete = true
	return n, io.EOF
}

// errOversizedTrailer means that a target sends more than a trailer may have.
var errOversizedTrailer = errors.New("trailer is above the limit")

func (x *Exchange) readTrailer() error {
	for size := 0; size <= maxHeader; {
		line, err := x.reader.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) <= len("\r\n") {
			return nil
		}
		size += len(line)
	}
	return errOversizedTrailer
}

func asTruncated(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return fireflypath.ErrTruncated
	}
	return err
}

// Detach lets the exchange continue after the end of its context.
func (x *Exchange) Detach() {
	if x.stopWatch != nil {
		x.contextAlive = x.stopWatch()
		x.stopWatch = nil
	}
}

// Close returns the connection to the pool if the complete response was read, and
// otherwise closes it.
func (x *Exchange) Close() {
	if x.closed {
		return
	}
	x.closed = true
	x.Detach()
	keep := x.contextAlive && x.complete && !x.Header.ConnectionClose() && (x.reader == nil || x.reader.Buffered() == 0)
	if x.reader != nil {
		x.client.ReleaseReader(x.reader)
	}
	x.release(keep)
}

// Complete closes an exchange whose content was read completely, although the last chunk of
// the body may not have arrived yet. It does not wait for that chunk, which is read before
// the connection is used again.
func (x *Exchange) Complete() {
	x.Detach()
	if x.complete || !x.contextAlive || x.Header.ConnectionClose() || x.unpooled {
		x.Close()
		return
	}
	x.closed = true
	x.conn.unfinished = x
	x.release(true)
}

// readChunkEnd reads the last chunk, and reports whether it arrived and nothing else did.
func (x *Exchange) readChunkEnd() bool {
	x.conn.readDeadline = time.Now().Add(chunkEndTimeout)
	defer func() { x.conn.readDeadline = time.Time{} }()
	var b [16]byte
	n, err := x.Read(b[:])
	ok := n == 0 && errors.Is(err, io.EOF) && x.reader.Buffered() == 0
	x.client.ReleaseReader(x.reader)
	return ok
}
