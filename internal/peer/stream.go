package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/uber-go/tally/v4"
)

var (
	errOversized = errors.New("message is above the limit")
	errMalformed = errors.New("message is malformed")
)

// lengthSize is the size of the length before each message.
const lengthSize = 4

// stream carries JSON objects, each behind its length in four bytes.
type stream struct {
	conn  net.Conn
	r     *bufio.Reader
	limit int
	// timeout bounds a write: a peer that stops reading would otherwise hold
	// the lock under which all messages of the connection are written.
	timeout time.Duration
	count   *counters

	mu  sync.Mutex
	buf []byte
}

var _ jsonrpc2.ObjectStream = (*stream)(nil)

func newStream(conn net.Conn, limit int, timeout time.Duration, count *counters) *stream {
	const readBuffer = 2 << 10 // a heartbeat fits; larger messages bypass it
	return &stream{conn: conn, r: bufio.NewReaderSize(conn, readBuffer), limit: limit, timeout: timeout, count: count}
}

// WriteObject sends one message in one write.
func (s *stream) WriteObject(obj any) error {
	b, err := json.Marshal(obj)
	if err != nil {
		return errors.Wrap(err, "encode a message")
	}
	if len(b) > s.limit {
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
	s.count.sent.Inc(1)
	s.count.sentBytes.Inc(int64(n))
	if err != nil {
		// A partly written message cannot be followed by another one.
		s.conn.Close()
	}
	if cap(s.buf) > keptBuffer {
		s.buf = nil
	}
	return err
}

// keptBuffer is the largest buffer a quiet connection keeps.
const keptBuffer = 4 << 10

// ReadObject reads one message. The length is checked before memory is taken.
func (s *stream) ReadObject(v any) error {
	var head [lengthSize]byte
	if _, err := io.ReadFull(s.r, head[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(head[:])
	if int64(n) > int64(s.limit) {
		s.count.oversized.Inc(1)
		return errors.Wrapf(errOversized, "%d bytes", n)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(s.r, b); err != nil {
		return err
	}
	s.count.received.Inc(1)
	s.count.receivedBytes.Inc(int64(n) + lengthSize)
	if err := json.Unmarshal(b, v); err != nil {
		s.count.malformed.Inc(1)
		return errors.Wrapf(errMalformed, "%v", err)
	}
	return nil
}

// Close closes the connection.
func (s *stream) Close() error {
	return s.conn.Close()
}

type counters struct {
	sent, sentBytes, received, receivedBytes    tally.Counter
	oversized, malformed, strangers, refused    tally.Counter
	silent, dialed, dialFailed, busy, duplicate tally.Counter
	open                                        tally.Gauge
}

func newCounters(scope tally.Scope) *counters {
	scope = scope.SubScope("peer")
	return &counters{
		sent: scope.Counter("sent"), sentBytes: scope.Counter("sent_bytes"),
		received: scope.Counter("received"), receivedBytes: scope.Counter("received_bytes"),
		oversized: scope.Counter("oversized"), malformed: scope.Counter("malformed"),
		strangers: scope.Counter("strangers"), refused: scope.Counter("refused"),
		silent: scope.Counter("silent"), dialed: scope.Counter("dialed"),
		dialFailed: scope.Counter("dial_failed"), busy: scope.Counter("busy"),
		duplicate: scope.Counter("duplicate"), open: scope.Gauge("open"),
	}
}
