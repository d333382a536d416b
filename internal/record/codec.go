package record

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/fireflypath/fireflypath"
)

// codec encodes a record to bytes or decodes one from them. Each field is listed once, for both
// directions, so that they cannot diverge. The encoding is only used in this process's memory.
// It contains no pointers, so that thousands of stored records cost the garbage collector
// nothing, and a record with 12 candidates takes about a third of the memory of the structs.
type codec struct {
	buf      []byte
	decoding bool
}

func encode(buf []byte, r *fireflypath.Record) []byte {
	c := codec{buf: buf}
	c.record(r)
	return c.buf
}

func decode(buf []byte) *fireflypath.Record {
	r := &fireflypath.Record{}
	c := codec{buf: buf, decoding: true}
	c.record(r)
	return r
}

func (c *codec) record(r *fireflypath.Record) {
	c.text(&r.ID)
	c.text(&r.Team)
	c.text(&r.Tier)
	c.text(&r.Pool)
	c.time(&r.Arrived)
	c.time(&r.Deadline)
	c.integer(&r.Cost.Prompt)
	c.integer(&r.Cost.MaxOutput)
	c.uvarint(&r.Generation)
	c.integer(&r.Ahead)
	c.text(&r.Rule)
	slice(c, &r.Unsent, (*codec).text)
	c.text(&r.Target)
	slice(c, &r.Considered, (*codec).candidate)
	c.time(&r.Dispatched)
	c.time(&r.FirstOutput)
	c.time(&r.Ended)
	c.integer(&r.Resumes)
	c.text(&r.Relief)
	c.integer(&r.Tokens)
	c.text(&r.State)
	optional(c, &r.Refusal, (*codec).refusal)
}

func (c *codec) candidate(v *fireflypath.Candidate) {
	c.text(&v.Target)
	c.integer(&v.InFlight)
	c.integer(&v.Reported)
	c.duration(&v.Age)
	c.integer(&v.Window)
	c.integer(&v.CachedPrompt)
	c.float(&v.Score)
	c.text(&v.SkipReason)
}

func (c *codec) refusal(r *fireflypath.Refusal) {
	c.text((*string)(&r.Code))
	c.text(&r.Tier)
	c.text(&r.Detail)
	c.text((*string)(&r.Run))
	c.duration(&r.RetryAfter)
	c.varint(&r.RetryMS)
	c.text(&r.ID)
	c.uvarint(&r.Generation)
}

// slice encodes or decodes a length and the elements.
func slice[T any](c *codec, values *[]T, element func(*codec, *T)) {
	n := len(*values)
	c.integer(&n)
	if c.decoding && n > 0 {
		*values = make([]T, n)
	}
	for i := range *values {
		element(c, &(*values)[i])
	}
}

// optional encodes or decodes whether the value is present, and the value.
func optional[T any](c *codec, v **T, value func(*codec, *T)) {
	var present uint64
	if *v != nil {
		present = 1
	}
	c.uvarint(&present)
	if present == 0 {
		return
	}
	if c.decoding {
		*v = new(T)
	}
	value(c, *v)
}

func (c *codec) uvarint(v *uint64) {
	if !c.decoding {
		c.buf = binary.AppendUvarint(c.buf, *v)
		return
	}
	n := 0
	*v, n = binary.Uvarint(c.buf)
	c.buf = c.buf[n:]
}

func (c *codec) varint(v *int64) {
	if !c.decoding {
		c.buf = binary.AppendVarint(c.buf, *v)
		return
	}
	n := 0
	*v, n = binary.Varint(c.buf)
	c.buf = c.buf[n:]
}

func (c *codec) integer(v *int) {
	n := int64(*v)
	c.varint(&n)
	*v = int(n)
}

func (c *codec) duration(v *time.Duration) {
	c.varint((*int64)(v))
}

// float stores 32 bits, about seven digits. The scores that it is used for are far less precise.
func (c *codec) float(v *float64) {
	if !c.decoding {
		c.buf = binary.LittleEndian.AppendUint32(c.buf, math.Float32bits(float32(*v)))
		return
	}
	*v = float64(math.Float32frombits(binary.LittleEndian.Uint32(c.buf)))
	c.buf = c.buf[4:]
}

// time stores the wall time in Unix nanoseconds, without the monotonic clock reading. The zero time
// is stored as 0.
func (c *codec) time(v *time.Time) {
	var n int64
	if !v.IsZero() {
		n = v.UnixNano()
	}
	c.varint(&n)
	if c.decoding && n != 0 {
		*v = time.Unix(0, n).UTC()
	}
}

func (c *codec) text(v *string) {
	n := uint64(len(*v))
	c.uvarint(&n)
	if !c.decoding {
		c.buf = append(c.buf, *v...)
		return
	}
	*v = string(c.buf[:n])
	c.buf = c.buf[n:]
}
