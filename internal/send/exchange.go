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

// tailTime bounds the read of an end mark, which usually came long ago.
const tailTime = 5 * time.Millisecond

// Exchange is one request and its answer. It is used by one goroutine.
type Exchange struct {
	// Header is the answer's.
	Header fasthttp.ResponseHeader

	host    *fasthttp.HostClient
	conn    *conn
	release func(keep bool)
	stop    func() bool
	before  int64
	reader  *bufio.Reader
	body    io.Reader
	// left counts down a body of known length; chunked is true for the other kind.
	left    int
	chunked bool
	whole   bool
	closed  bool
	// fresh is true for a connection that is not kept.
	fresh bool
	// alive is true if the context's end did not close the connection.
	alive bool
	// bodyless is true for an answer to HEAD.
	bodyless bool
}

func (x *Exchange) connect(addr string, silence time.Duration, fresh bool) error {
	if x.fresh = fresh; fresh {
		c, err := dial(addr, silence)
		x.conn = c
		x.release = func(bool) { c.Close() }
		return err
	}
	release, c, err := acquire(x.host)
	x.release = release
	x.conn = c
	return err
}

func (x *Exchange) write(req *fasthttp.Request) error {
	x.before = x.conn.written.Load()
	if err := x.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	w := x.host.AcquireWriter(x.conn)
	defer x.host.ReleaseWriter(w)
	return write(w, req)
}

func (x *Exchange) readHeader() error {
	x.reader = x.host.AcquireReader(x.conn)
	if err := x.Header.Read(x.reader); err != nil {
		return err
	}
	switch n := x.Header.ContentLength(); {
	case x.bodyless || x.Header.StatusCode() == fasthttp.StatusNoContent || x.Header.StatusCode() == fasthttp.StatusNotModified:
		x.whole = true
	case n >= 0:
		x.left = n
		x.body = x.reader
		x.whole = n == 0
	case n == -1:
		x.chunked = true
		x.body = httputil.NewChunkedReader(x.reader)
	default:
		// A body that ends with the connection cannot be told from a cut one.
		return errors.Wrap(fireflypath.ErrTruncated, "answer without a length")
	}
	return nil
}

// Length is the body's length, or -1 if only its end will tell.
func (x *Exchange) Length() int {
	return x.Header.ContentLength()
}

// Read reads the body. It returns io.EOF only after the whole body.
func (x *Exchange) Read(b []byte) (int, error) {
	if x.whole {
		return 0, io.EOF
	}
	if x.chunked {
		return x.readChunked(b)
	}
	if len(b) > x.left {
		b = b[:x.left]
	}
	n, err := x.body.Read(b)
	x.left -= n
	if x.left == 0 {
		x.whole = true
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
		return n, cut(err)
	}
	if err := x.readTrailer(); err != nil {
		return n, cut(err)
	}
	x.whole = true
	return n, io.EOF
}

func (x *Exchange) readTrailer() error {
	for {
		line, err := x.reader.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) <= len("\r\n") {
			return nil
		}
	}
}

func cut(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return fireflypath.ErrTruncated
	}
	return err
}

// Detach lets the exchange outlive its context.
func (x *Exchange) Detach() {
	if x.stop != nil {
		x.alive = x.stop()
		x.stop = nil
	}
}

// Close gives the connection back if the whole answer was read, else closes it.
func (x *Exchange) Close() {
	if x.closed {
		return
	}
	x.closed = true
	x.Detach()
	keep := x.alive && x.whole && !x.Header.ConnectionClose() && (x.reader == nil || x.reader.Buffered() == 0)
	if x.reader != nil {
		x.host.ReleaseReader(x.reader)
	}
	x.release(keep)
}

// Complete closes an exchange whose content is complete, although the body's end
// mark may still be on its way. The caller does not wait for it: whoever takes
// the connection next reads it.
func (x *Exchange) Complete() {
	x.Detach()
	if x.whole || !x.alive || x.Header.ConnectionClose() || x.fresh {
		x.Close()
		return
	}
	x.closed = true
	x.conn.tail = x
	x.release(true)
}

// finish reads the end mark, and reports whether it was there and nothing else.
func (x *Exchange) finish() bool {
	x.conn.until = time.Now().Add(tailTime)
	defer func() { x.conn.until = time.Time{} }()
	var b [16]byte
	n, err := x.Read(b[:])
	ok := n == 0 && errors.Is(err, io.EOF) && x.reader.Buffered() == 0
	x.host.ReleaseReader(x.reader)
	return ok
}
