package record

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/fireflypath/fireflypath"
)

// cursor writes a record into bytes, or reads one from them. Each field is
// named once, for both directions, so that they cannot differ. The form is for
// this process's memory only: it holds no pointers, so that thousands of kept
// records cost the garbage collector nothing, and a record of 12 candidates
// takes about a third of what the structs do.
type cursor struct {
	buf     []byte
	reading bool
}

func pack(buf []byte, r *fireflypath.Record) []byte {
	c := cursor{buf: buf}
	c.record(r)
	return c.buf
}

func unpack(buf []byte) *fireflypath.Record {
	r := &fireflypath.Record{}
	c := cursor{buf: buf, reading: true}
	c.record(r)
	return r
}

func (c *cursor) record(r *fireflypath.Record) {
	c.text(&r.ID)
	c.text(&r.Team)
	c.text(&r.Tier)
	c.text(&r.Pool)
	c.time(&r.Arrived)
	c.time(&r.Deadline)
	c.number(&r.Cost.Prompt)
	c.number(&r.Cost.MaxOutput)
	c.unsigned(&r.Generation)
	c.number(&r.Ahead)
	c.text(&r.Rule)
	list(c, &r.Unsent, (*cursor).text)
	c.text(&r.Target)
	list(c, &r.Considered, (*cursor).candidate)
	c.time(&r.Dispatched)
	c.time(&r.FirstOutput)
	c.time(&r.Ended)
	c.number(&r.Resumes)
	c.text(&r.Relief)
	c.number(&r.Tokens)
	c.text(&r.State)
	optional(c, &r.Refusal, (*cursor).refusal)
}

func (c *cursor) candidate(v *fireflypath.Candidate) {
	c.text(&v.Target)
	c.number(&v.InFlight)
	c.number(&v.Reported)
	c.duration(&v.Age)
	c.number(&v.Window)
	c.number(&v.CachedPrompt)
	c.float(&v.Score)
	c.text(&v.SkipReason)
}

func (c *cursor) refusal(r *fireflypath.Refusal) {
	c.text((*string)(&r.Code))
	c.text(&r.Tier)
	c.text(&r.Detail)
	c.text((*string)(&r.Run))
	c.duration(&r.RetryAfter)
	c.signed(&r.RetryMS)
	c.text(&r.ID)
	c.unsigned(&r.Generation)
}

// list writes the length and the elements.
func list[T any](c *cursor, values *[]T, element func(*cursor, *T)) {
	n := len(*values)
	c.number(&n)
	if c.reading && n > 0 {
		*values = make([]T, n)
	}
	for i := range *values {
		element(c, &(*values)[i])
	}
}

// optional writes whether there is a value, and the value.
func optional[T any](c *cursor, v **T, value func(*cursor, *T)) {
	var set uint64
	if *v != nil {
		set = 1
	}
	c.unsigned(&set)
	if set == 0 {
		return
	}
	if c.reading {
		*v = new(T)
	}
	value(c, *v)
}

func (c *cursor) unsigned(v *uint64) {
	if !c.reading {
		c.buf = binary.AppendUvarint(c.buf, *v)
		return
	}
	n := 0
	*v, n = binary.Uvarint(c.buf)
	c.buf = c.buf[n:]
}

func (c *cursor) signed(v *int64) {
	if !c.reading {
		c.buf = binary.AppendVarint(c.buf, *v)
		return
	}
	n := 0
	*v, n = binary.Varint(c.buf)
	c.buf = c.buf[n:]
}

func (c *cursor) number(v *int) {
	n := int64(*v)
	c.signed(&n)
	*v = int(n)
}

func (c *cursor) duration(v *time.Duration) {
	c.signed((*int64)(v))
}

// float keeps seven digits; a score is an estimate of far fewer.
func (c *cursor) float(v *float64) {
	if !c.reading {
		c.buf = binary.LittleEndian.AppendUint32(c.buf, math.Float32bits(float32(*v)))
		return
	}
	*v = float64(math.Float32frombits(binary.LittleEndian.Uint32(c.buf)))
	c.buf = c.buf[4:]
}

// time keeps the wall time; the zero time is 0.
func (c *cursor) time(v *time.Time) {
	var n int64
	if !v.IsZero() {
		n = v.UnixNano()
	}
	c.signed(&n)
	if c.reading && n != 0 {
		*v = time.Unix(0, n).UTC()
	}
}

func (c *cursor) text(v *string) {
	n := uint64(len(*v))
	c.unsigned(&n)
	if !c.reading {
		c.buf = append(c.buf, *v...)
		return
	}
	*v = string(c.buf[:n])
	c.buf = c.buf[n:]
}
