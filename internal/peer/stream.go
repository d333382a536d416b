package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/uber-go/tally/v4"
)

var (
	errOversized = errors.New("message is above the limit")
	errMalformed = errors.New("message is malformed")
)

// lengthPrefixSize is the size of the length that precedes each message, in bytes.
const lengthPrefixSize = 4

// stream implements jsonrpc2.ObjectStream. Each JSON object is preceded by its length as a
// big-endian 32-bit integer.
type stream struct {
	conn net.Conn
	r    *bufio.Reader
	// limit is the size of the largest message, in bytes. It is small until the peer is known.
	limit atomic.Int64
	// timeout limits a write. Otherwise a peer that stops reading would block the lock
	// that all writers of the connection need.
	timeout time.Duration
	metrics *metrics

	mu  sync.Mutex
	buf []byte
}

var _ jsonrpc2.ObjectStream = (*stream)(nil)

func newStream(conn net.Conn, limit int, timeout time.Duration, m *metrics) *stream {
	const readBuffer = 2 << 10 // holds a heartbeat; bufio reads larger messages directly
	s := &stream{conn: conn, r: bufio.NewReaderSize(conn, readBuffer), timeout: timeout, metrics: m}
	s.limit.Store(int64(limit))
	return s
}

// WriteObject sends a message with a single write to the connection.
func (s *stream) WriteObject(obj any) error {
	b, err := json.Marshal(obj)
	if err != nil {
		return errors.Wrap(err, "encode a message")
	}
	if int64(len(b)) > s.limit.Load() {
		return errors.Wrapf(errOversized, "%d bytes", len(b))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buf = binary.BigEndian.AppendUint32(s.buf[:0], uint32(len(b)))
	s.buf = append(s.buf, b...)
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.timeout)); err != nil {
		return err
	}
	n, err := s.conn.Write(s.buf)
	s.metrics.sent.Inc(1)
	s.metrics.sentBytes.Inc(int64(n))
	if err != nil {
		// After a partial write, the peer could not find the start of the next message.
		s.conn.Close()
	}
	if cap(s.buf) > maxRetainedBuffer {
		s.buf = nil
	}
	return err
}

// maxRetainedBuffer is the capacity up to which the write buffer is kept for the next
// message, in bytes.
const maxRetainedBuffer = 4 << 10

// ReadObject reads one message. It checks the length before it allocates memory.
func (s *stream) ReadObject(v any) error {
	var prefix [lengthPrefixSize]byte
	if _, err := io.ReadFull(s.r, prefix[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(prefix[:])
	if int64(n) > s.limit.Load() {
		s.metrics.oversized.Inc(1)
		return errors.Wrapf(errOversized, "%d bytes", n)
	}
	b, err := s.readMessage(int(n))
	if err != nil {
		return err
	}
	s.metrics.received.Inc(1)
	s.metrics.receivedBytes.Inc(int64(n) + lengthPrefixSize)
	if err := json.Unmarshal(b, v); err != nil {
		s.metrics.malformed.Inc(1)
		return errors.Wrapf(errMalformed, "%v", err)
	}
	return nil
}

// maxUpfront is the size in bytes up to which a message is allocated before it arrives.
const maxUpfront = 64 << 10

// readMessage reads a message of n bytes. Memory for a long one grows with what arrives: its length is
// only claimed by the sender.
func (s *stream) readMessage(n int) ([]byte, error) {
	if n <= maxUpfront {
		b := make([]byte, n)
		_, err := io.ReadFull(s.r, b)
		return b, err
	}
	b, err := io.ReadAll(io.LimitReader(s.r, int64(n)))
	if err == nil && len(b) < n {
		err = io.ErrUnexpectedEOF
	}
	return b, err
}

// Close closes the connection.
func (s *stream) Close() error {
	return s.conn.Close()
}

// metrics are the counters and gauges of an endpoint.
type metrics struct {
	sent, sentBytes, received, receivedBytes         tally.Counter
	oversized, malformed, handshakeFailures, refused tally.Counter
	silent, dialed, dialFailed, busy, duplicate      tally.Counter
	open                                             tally.Gauge
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("peer")
	return &metrics{
		sent: scope.Counter("sent"), sentBytes: scope.Counter("sent_bytes"),
		received: scope.Counter("received"), receivedBytes: scope.Counter("received_bytes"),
		oversized: scope.Counter("oversized"), malformed: scope.Counter("malformed"),
		handshakeFailures: scope.Counter("strangers"), refused: scope.Counter("refused"),
		silent: scope.Counter("silent"), dialed: scope.Counter("dialed"),
		dialFailed: scope.Counter("dial_failed"), busy: scope.Counter("busy"),
		duplicate: scope.Counter("duplicate"), open: scope.Gauge("open"),
	}
}
