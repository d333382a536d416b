package record

import (
	"encoding/binary"
	"sync"

	"github.com/fireflypath/fireflypath"
)

// headBytes are the length, the id's hash and the sequence number in front of
// each packed record.
const headBytes = 4 + 8 + 8

// shard is a circular buffer of packed records. Offsets count all bytes ever
// written; an offset's place is its remainder by the buffer's length. There is
// no index: a record is kept for each request and looked for when an operator
// asks, and a look through the heads of one shard takes well under a
// millisecond.
type shard struct {
	mu  sync.Mutex
	buf []byte
	// head is the oldest record's offset, tail the end of the newest.
	head, tail uint64
	limit      int
	// _ keeps neighbours' locks on other cache lines.
	_ [64]byte
}

// keep adds a record and returns how many made room for it. One that is larger
// than the whole shard is not kept.
func (s *shard) keep(hash, seq uint64, packed []byte) (dropped uint64) {
	need := headBytes + len(packed)
	if need > s.limit {
		return 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.buf == nil {
		// The whole buffer at once: memory not written yet takes no room in the
		// host, and a buffer that grows leaves its old ones to the collector.
		s.buf = make([]byte, s.limit)
	}
	for s.used()+need > s.limit {
		s.head += uint64(headBytes + s.header(s.head).size)
		dropped++
	}
	var h [headBytes]byte
	binary.LittleEndian.PutUint32(h[:], uint32(len(packed)))
	binary.LittleEndian.PutUint64(h[4:], hash)
	binary.LittleEndian.PutUint64(h[12:], seq)
	s.write(h[:])
	s.write(packed)
	return dropped
}

func (s *shard) used() int {
	return int(s.tail - s.head)
}

func (s *shard) write(b []byte) {
	i := int(s.tail % uint64(len(s.buf)))
	n := copy(s.buf[i:], b)
	copy(s.buf, b[n:])
	s.tail += uint64(len(b))
}

func (s *shard) read(at uint64, n int) []byte {
	out := make([]byte, n)
	s.copy(out, at)
	return out
}

func (s *shard) copy(out []byte, at uint64) {
	i := int(at % uint64(len(s.buf)))
	n := copy(out, s.buf[i:])
	copy(out[n:], s.buf)
}

// header is what stands in front of a packed record.
type header struct {
	size      int
	hash, seq uint64
}

func (s *shard) header(at uint64) header {
	var b [headBytes]byte
	s.copy(b[:], at)
	return header{
		size: int(binary.LittleEndian.Uint32(b[:])),
		hash: binary.LittleEndian.Uint64(b[4:]),
		seq:  binary.LittleEndian.Uint64(b[12:]),
	}
}

// find returns the newest record of the id, or nil.
func (s *shard) find(hash uint64, id string) *fireflypath.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found *fireflypath.Record
	s.each(func(at uint64, h header) {
		if h.hash != hash {
			return
		}
		if r := s.unpack(at); r.ID == id {
			found = r
		}
	})
	return found
}

// each visits the heads from the oldest to the newest.
func (s *shard) each(fn func(at uint64, h header)) {
	for at := s.head; at < s.tail; {
		h := s.header(at)
		fn(at, h)
		at += uint64(headBytes + h.size)
	}
}

func (s *shard) unpack(at uint64) *fireflypath.Record {
	return unpack(s.read(at+headBytes, s.header(at).size))
}

// bytes is the memory taken.
func (s *shard) bytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.buf)
}

// place is where a record was when it was listed.
type place struct {
	shard *shard
	seq   uint64
	at    uint64
}

func (s *shard) list(out []place) []place {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.each(func(at uint64, h header) {
		out = append(out, place{shard: s, seq: h.seq, at: at})
	})
	return out
}

// load reads a listed record, or returns nil if it has made room meanwhile.
func (p place) load() *fireflypath.Record {
	s := p.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.at < s.head || p.at >= s.tail || s.header(p.at).seq != p.seq {
		return nil
	}
	return s.unpack(p.at)
}
