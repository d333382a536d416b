package events

import (
	"bytes"
	"math/big"
	"strconv"

	"github.com/cockroachdb/errors"
)

// ErrNotContinued is returned for a stream that does not go on where another one broke off, or may not.
var ErrNotContinued = errors.New("stream does not continue the one before")

// Position is how much of a stream was passed on, as the ids of its events show.
type Position struct {
	// lastID is the id of the last event that has one, or the id after which the stream began.
	lastID string
	// events counts the events.
	events int
	// last is the value of the last id that is a number, or nil.
	last *big.Int
	// numbered is true if the last event has an id that is a number.
	numbered bool
	// unordered is true if an id was not above the one before.
	unordered bool
	// step is the difference between consecutive ids of one target, or nil if there were none; irregular is
	// true if there were several differences.
	step      *big.Int
	irregular bool
	// begun is true if the stream broke off inside the event that follows.
	begun bool
}

// Empty reports whether no event was passed on.
func (p Position) Empty() bool {
	return p.events == 0
}

// Known reports whether a target can tell from the id of the last event which events follow it.
func (p Position) Known() bool {
	return p.numbered && !p.unordered
}

// advance records the next event. joined is true if it is the first one of another target.
func (p *Position) advance(b block, joined bool) {
	p.events++
	p.numbered, p.begun = false, false
	if !b.hasID {
		return
	}
	p.lastID = b.id
	n, ok := number(b.id)
	if !ok {
		return
	}
	if p.last != nil {
		p.unordered = p.unordered || n.Cmp(p.last) <= 0
		if !joined {
			p.addStep(new(big.Int).Sub(n, p.last))
		}
	}
	p.last, p.numbered = n, true
}

func (p *Position) addStep(d *big.Int) {
	if p.step == nil {
		p.step = d
		return
	}
	p.irregular = p.irregular || p.step.Cmp(d) != 0
}

// leavesGap reports whether an event is missing before the one with id n: all ids so far had the same step.
func (p *Position) leavesGap(n *big.Int) bool {
	return p.step != nil && !p.irregular && new(big.Int).Sub(n, p.last).Cmp(p.step) > 0
}

// maxDigits is the length up to which an id is read as a number. It bounds the time that an event takes.
const maxDigits = 128

// number returns the value of a decimal id.
func number(id string) (*big.Int, bool) {
	if len(id) > maxDigits {
		return nil, false
	}
	if n, err := strconv.ParseInt(id, 10, 64); err == nil {
		return big.NewInt(n), true
	}
	return new(big.Int).SetString(id, 10)
}

// block is what a block of lines says: an event, or fields and comments that are none.
type block struct {
	id string
	// hasID and hasData are true if the block has fields of these names.
	hasID, hasData bool
	// comment is true if it has comments and empty lines only.
	comment bool
}

// parseBlock reads the lines of a block.
func parseBlock(text []byte) block {
	b := block{comment: true}
	for len(text) > 0 {
		line, n, _ := cutLine(text)
		text = text[n:]
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		b.comment = false
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "id":
			b.id, b.hasID = string(bytes.TrimSpace(value)), true // the last one counts
		case "data":
			b.hasData = true
		}
	}
	return b
}

func (b block) isEvent() bool {
	return b.hasID || b.hasData
}

// continuation is where the events of a target stand that goes on with another one's stream.
type continuation struct {
	// after is the last id that was passed on before, or nil in a stream that is not continued.
	after *big.Int
	// located is true if the next event follows that id: after that event itself, or a later one.
	located bool
	// repeated is true once an event was skipped, fresh once one was returned.
	repeated, fresh bool
}

// place decides whether a block is skipped. It fails for an event that does not continue the stream.
func (r *Reader) place(b block) (skip bool, err error) {
	if r.skipThrough == nil || b.comment {
		return false, nil
	}
	n, ok := number(b.id)
	k := &r.continued
	switch {
	case k.after == nil:
		return ok && n.Cmp(r.skipThrough) <= 0, nil
	case !ok && k.located:
		k.fresh = k.fresh || b.isEvent()
		return false, nil
	case !b.isEvent():
		return true, nil // such as the time for reconnecting, which the first target has given
	case !ok:
		return false, errors.Wrapf(ErrNotContinued, "event without a number after event %s", k.after)
	case n.Cmp(k.after) <= 0 && !k.fresh:
		k.located, k.repeated = n.Cmp(k.after) == 0, true
		return true, nil
	case n.Cmp(r.pos.last) <= 0 || r.pos.last == k.after && r.pos.leavesGap(n):
		return false, errors.Wrapf(ErrNotContinued, "event %s after event %s", n, r.pos.last)
	}
	k.located, k.fresh = true, true
	return false, nil
}

// breakOff records the incomplete block that follows the last event, unless it may belong to a repeated one.
func (r *Reader) breakOff(rest []byte) {
	if r.continued.after == nil || r.continued.located {
		r.pos.begun = r.pos.begun || !parseBlock(rest).comment
	}
}

// checkEnd fails for the end of a stream that is known to lack events of the one that it continues.
func (r *Reader) checkEnd() error {
	switch k := &r.continued; {
	case k.after == nil || k.fresh:
		return nil
	case k.repeated && !k.located:
		return errors.Wrapf(ErrNotContinued, "end before event %s", k.after)
	case r.pos.begun:
		return errors.Wrapf(ErrNotContinued, "end after event %s, which another one followed", k.after)
	}
	return nil
}
