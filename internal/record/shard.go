package record

import (
	"encoding/binary"
	"sync"

	"github.com/fireflypath/fireflypath"
)

// headerBytes is the size of the header in front of each encoded record: its length, the hash of
// the id and the sequence number.
const headerBytes = 4 + 8 + 8

// shard is a circular buffer of encoded records. Offsets count all bytes ever written; the index
// in the buffer is the offset modulo the buffer's length. There is no index by id: every request
// stores a record, but only operators' queries search for one, and scanning the headers of one
// shard takes well under a millisecond.
type shard struct {
	mu  sync.Mutex
	buf []byte
	// head is the offset of the oldest record, tail the end of the newest.
	head, tail uint64
	limit      int
	// The padding keeps the locks of adjacent shards on different cache lines.
	_ [64]byte
}

// put adds a record and returns the number of records dropped: those evicted for it, or the
// record itself if it is larger than the whole shard.
func (s *shard) put(hash, seq uint64, encoded []byte) (dropped uint64) {
	size := headerBytes + len(encoded)
	if size > s.limit {
		return 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.buf == nil {
		// The whole buffer is allocated at once: pages that were never written take no memory of
		// the host, and a growing buffer would leave its previous copies to the garbage
		// collector.
		s.buf = make([]byte, s.limit)
	}
	for s.used()+size > s.limit {
		s.head += uint64(headerBytes + s.header(s.head).size)
		dropped++
	}
	var h [headerBytes]byte
	binary.LittleEndian.PutUint32(h[:], uint32(len(encoded)))
	binary.LittleEndian.PutUint64(h[4:], hash)
	binary.LittleEndian.PutUint64(h[12:], seq)
	s.write(h[:])
	s.write(encoded)
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

func (s *shard) read(offset uint64, n int) []byte {
	out := make([]byte, n)
	s.readInto(out, offset)
	return out
}

func (s *shard) readInto(dst []byte, offset uint64) {
	i := int(offset % uint64(len(s.buf)))
	n := copy(dst, s.buf[i:])
	copy(dst[n:], s.buf)
}

// header describes the encoded record that follows it.
type header struct {
	size      int
	hash, seq uint64
}

func (s *shard) header(offset uint64) header {
	var b [headerBytes]byte
	s.readInto(b[:], offset)
	return header{
		size: int(binary.LittleEndian.Uint32(b[:])),
		hash: binary.LittleEndian.Uint64(b[4:]),
		seq:  binary.LittleEndian.Uint64(b[12:]),
	}
}

// find returns the newest record with the id, or nil.
func (s *shard) find(hash uint64, id string) *fireflypath.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found *fireflypath.Record
	s.forEach(func(offset uint64, h header) {
		if h.hash != hash {
			return
		}
		if r := s.recordAt(offset); r.ID == id {
			found = r
		}
	})
	return found
}

// forEach calls fn for the headers from the oldest to the newest. The caller holds mu.
func (s *shard) forEach(fn func(offset uint64, h header)) {
	for offset := s.head; offset < s.tail; {
		h := s.header(offset)
		fn(offset, h)
		offset += uint64(headerBytes + h.size)
	}
}

func (s *shard) recordAt(offset uint64) *fireflypath.Record {
	return decode(s.read(offset+headerBytes, s.header(offset).size))
}

// allocated returns the size of the buffer, 0 before the first record.
func (s *shard) allocated() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.buf)
}

// location is the position of a record when it was listed.
type location struct {
	shard  *shard
	seq    uint64
	offset uint64
}

func (s *shard) appendLocations(out []location) []location {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forEach(func(offset uint64, h header) {
		out = append(out, location{shard: s, seq: h.seq, offset: offset})
	})
	return out
}

// record returns a listed record, or nil if it has been evicted since.
func (l location) record() *fireflypath.Record {
	s := l.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.offset < s.head || l.offset >= s.tail || s.header(l.offset).seq != l.seq {
		return nil
	}
	return s.recordAt(l.offset)
}
