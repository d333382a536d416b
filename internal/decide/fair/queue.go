// Package fair orders waiting work: strict tiers, fair teams, and short work past long work.
//
// It answers a hot team and long work among short work. Without it one team's
// thousand requests stand before another team's one, and a prompt a hundred
// times longer than the rest holds the short ones of its own team back.
//
// Teams of a tier are served by virtual time in tokens (start-time fair
// queueing): a team's tag grows by cost/weight with each request and the lowest
// tag is next. Deficit round robin has the same bound on unfairness, the
// largest single cost, but needs cost/quantum rounds over all teams before a
// long request is due; with lengths a hundred times apart and 29,000 teams that
// is millions of steps, where the heap of tags needs about fifteen.
package fair

import (
	"math/bits"

	"github.com/fireflypath/fireflypath"
)

const (
	// Ranks is the number of tier ranks (Tier.Rank is at most 15).
	Ranks = 16
	// classes is the number of size classes of a team's work. Each spans a
	// factor of four, so five cover lengths that vary by a factor of a hundred.
	classes = 5
	// smallest is the cost in tokens below which work is of the lowest class: a
	// short question with its answer.
	smallest = 512
	// sweep is how many idle teams are looked at per operation, so that idle
	// teams are freed faster than one operation can add them.
	sweep = 2
	none  = int32(-1)
)

// Queue holds waiting work by slot, a small number chosen by its owner.
// All operations take at most logarithmic time in the number of teams.
type Queue struct {
	entries []entry
	tiers   [Ranks]tier
	teams   []team
	free    []int32
	bytes   int
	length  int
}

// entry is one waiting request in a lane, a doubly linked list.
type entry struct {
	work       *fireflypath.Work
	cost       int
	prev, next int32
	team       int32
	class      int8
}

// lane is one size class of one team, first-in first-out.
type lane struct {
	head, tail int32
	tokens     int
	// tag is the lane's virtual time within its team.
	tag float64
}

// team is the waiting work of one team in one tier.
type team struct {
	name   string
	weight float64
	// tag is the virtual start of the team's next request.
	tag float64
	// base is the virtual time of the team's lanes.
	base     float64
	tokens   int
	requests int
	lanes    [classes]lane
	// turn and load are positions in the tier's heaps, or -1.
	turn, load int32
	// listed is true while the team is in its tier's idle list.
	listed bool
}

// tier is the waiting work of one rank.
type tier struct {
	names map[string]int32
	// turn orders active teams by tag, load by tokens against weight, most first.
	turn, load ranking
	idle       []int32
	// hand is the position in idle that is looked at next.
	hand     int
	virtual  float64
	weight   float64
	tokens   int
	requests int
}

// New makes an empty Queue.
func New() *Queue {
	return &Queue{}
}

// Push adds work under a slot that is not in use.
func (q *Queue) Push(slot int32, w *fireflypath.Work) {
	q.insert(slot, w, false)
}

// Return puts work back before the other work of its lane, for an attempt of
// which nothing was sent.
func (q *Queue) Return(slot int32, w *fireflypath.Work) {
	q.insert(slot, w, true)
}

func (q *Queue) insert(slot int32, w *fireflypath.Work, front bool) {
	for int(slot) >= len(q.entries) {
		q.entries = append(q.entries, entry{})
	}
	r := &q.tiers[rank(w)]
	t := q.join(r, w)
	cost := max(w.Cost.Tokens(), 1)
	class := classOf(cost)
	q.entries[slot] = entry{work: w, cost: cost, prev: none, next: none, team: t, class: class}
	q.link(slot, &q.teams[t].lanes[class], q.teams[t].base, front)
	q.account(r, t, cost, w.Bytes, 1)
	q.sweep(r)
}

// Remove takes the work out of the queue without charging its team.
func (q *Queue) Remove(slot int32) {
	q.take(slot, false)
}

// Serve takes the work out and charges its team and size class for it.
func (q *Queue) Serve(slot int32) {
	q.take(slot, true)
}

func (q *Queue) take(slot int32, charge bool) {
	e := &q.entries[slot]
	r := &q.tiers[rank(e.work)]
	t := &q.teams[e.team]
	if charge {
		r.virtual = max(r.virtual, t.tag)
		t.tag += float64(e.cost) / t.weight
		l := &t.lanes[e.class]
		t.base = max(t.base, l.tag)
		l.tag += float64(e.cost)
		r.turn.update(q.teams, t.turn, t.tag)
	}
	q.unlink(slot)
	q.account(r, e.team, -e.cost, -e.work.Bytes, -1)
	*e = entry{team: none}
	q.sweep(r)
}

// Head is the slot whose turn it is in a tier, or -1.
func (q *Queue) Head(rank int) int32 {
	r := &q.tiers[rank]
	if r.turn.len() == 0 {
		return none
	}
	t := &q.teams[r.turn.first()]
	best := none
	for i := range t.lanes {
		l := &t.lanes[i]
		if l.head == none {
			continue
		}
		if best == none || l.tag < t.lanes[best].tag {
			best = int32(i)
		}
	}
	return t.lanes[best].head
}

// Victim is the slot that gives way first in a tier, or -1: the youngest of the
// size class that holds most, in the team that holds most for its weight. It
// has the longest way to its turn and frees the most, so the least goodput is
// expected from it for the room it takes.
func (q *Queue) Victim(rank int) int32 {
	r := &q.tiers[rank]
	if r.load.len() == 0 {
		return none
	}
	t := &q.teams[r.load.first()]
	best := 0
	for i := range t.lanes {
		if t.lanes[i].tokens > t.lanes[best].tokens {
			best = i
		}
	}
	return t.lanes[best].tail
}

// Work is the work under a slot.
func (q *Queue) Work(slot int32) *fireflypath.Work {
	return q.entries[slot].work
}

// Len is the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// Bytes is the memory that waiting requests hold.
func (q *Queue) Bytes() int { return q.bytes }

// Tokens is the waiting work of a rank in estimated tokens.
func (q *Queue) Tokens(rank int) int { return q.tiers[rank].tokens }

// Requests is the number of waiting requests of a rank.
func (q *Queue) Requests(rank int) int { return q.tiers[rank].requests }

// Teams is the number of teams for which memory is held.
func (q *Queue) Teams() int { return len(q.teams) - len(q.free) }

// Ahead is the work in tokens of w's own tier that is due before w, were it
// pushed now: what its team holds in w's class or below, and of other teams at
// most as much again for each team's weight.
func (q *Queue) Ahead(w *fireflypath.Work) int {
	r := &q.tiers[rank(w)]
	own, weight := 0.0, float64(max(w.Weight, 1))
	active := r.weight + weight
	if i, ok := r.names[w.Team]; ok {
		t := &q.teams[i]
		own = t.due(classOf(max(w.Cost.Tokens(), 1)))
		if t.requests > 0 {
			active -= t.weight
		}
	}
	fair := (own + float64(max(w.Cost.Tokens(), 1))) * active / weight
	return int(min(fair, float64(r.tokens)))
}

// due is what a new request of the class waits for within its team: lanes take
// equal parts, so other classes pass at most as much as stands in its own.
func (t *team) due(class int8) float64 {
	own := float64(t.lanes[class].tokens)
	sum := own
	for i := range t.lanes {
		if i != int(class) {
			sum += min(float64(t.lanes[i].tokens), own+smallest)
		}
	}
	return sum
}

func (q *Queue) join(r *tier, w *fireflypath.Work) int32 {
	if r.names == nil {
		r.names = make(map[string]int32)
		r.load.load = true
	}
	weight := float64(max(w.Weight, 1))
	i, ok := r.names[w.Team]
	if !ok {
		i = q.alloc()
		t := &q.teams[i]
		t.name, t.tag, t.turn, t.load = w.Team, r.virtual, none, none
		r.names[w.Team] = i
	}
	t := &q.teams[i]
	if t.requests == 0 {
		t.tag = max(t.tag, r.virtual)
		t.weight = weight
		r.weight += weight
		r.turn.push(q.teams, i, t.tag)
		r.load.push(q.teams, i, 0)
	}
	return i
}

func (q *Queue) alloc() int32 {
	var i int32
	if n := len(q.free); n > 0 {
		i = q.free[n-1]
		q.free = q.free[:n-1]
	} else {
		q.teams = append(q.teams, team{})
		i = int32(len(q.teams) - 1)
	}
	q.teams[i] = team{}
	for c := range q.teams[i].lanes {
		q.teams[i].lanes[c] = lane{head: none, tail: none}
	}
	return i
}

// account books work in or out and keeps the heaps and the list of idle teams.
func (q *Queue) account(r *tier, i int32, cost, bytes, n int) {
	t := &q.teams[i]
	t.tokens += cost
	t.requests += n
	r.tokens += cost
	r.requests += n
	q.bytes += bytes
	q.length += n
	if t.requests > 0 {
		r.load.update(q.teams, t.load, -float64(t.tokens)/t.weight)
		return
	}
	r.weight -= t.weight
	r.turn.remove(q.teams, t.turn)
	r.load.remove(q.teams, t.load)
	t.turn, t.load = none, none
	if !t.listed {
		t.listed = true
		r.idle = append(r.idle, i)
	}
}

// sweep frees idle teams whose tag the tier's virtual time has passed. A team
// freed before that would come back without what it was charged, and would be
// served before others by going idle after each long request.
func (q *Queue) sweep(r *tier) {
	for range min(sweep, len(r.idle)) {
		if r.hand >= len(r.idle) {
			r.hand = 0
		}
		i := r.idle[r.hand]
		t := &q.teams[i]
		if t.requests == 0 && t.tag > r.virtual && r.requests > 0 {
			r.hand++
			continue
		}
		n := len(r.idle) - 1
		r.idle[r.hand] = r.idle[n]
		r.idle = r.idle[:n]
		t.listed = false
		if t.requests > 0 {
			continue
		}
		delete(r.names, t.name)
		*t = team{}
		q.free = append(q.free, i)
	}
}

func (q *Queue) link(slot int32, l *lane, base float64, front bool) {
	e := &q.entries[slot]
	l.tokens += e.cost
	if l.head == none {
		l.tag = max(l.tag, base)
		l.head, l.tail = slot, slot
		return
	}
	if front {
		e.next = l.head
		q.entries[l.head].prev = slot
		l.head = slot
		return
	}
	e.prev = l.tail
	q.entries[l.tail].next = slot
	l.tail = slot
}

func (q *Queue) unlink(slot int32) {
	e := &q.entries[slot]
	l := &q.teams[e.team].lanes[e.class]
	l.tokens -= e.cost
	if e.prev == none {
		l.head = e.next
	} else {
		q.entries[e.prev].next = e.next
	}
	if e.next == none {
		l.tail = e.prev
	} else {
		q.entries[e.next].prev = e.prev
	}
}

func rank(w *fireflypath.Work) int {
	return min(max(w.Rank, 0), Ranks-1)
}

func classOf(cost int) int8 {
	c := bits.Len(uint(cost/smallest)) + 1
	return int8(min(c/2, classes-1))
}
