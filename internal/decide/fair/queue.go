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
	// numClasses is the number of size classes of a team's work. Each spans a
	// factor of four, so five cover lengths that vary by a factor of a hundred.
	numClasses = 5
	// smallestClassCost is the cost in tokens below which work is of the lowest class: a
	// short question with its answer.
	smallestClassCost = 512
	// sweepBatch is how many idle teams are looked at per operation, so that idle
	// teams are freed faster than one operation can add them.
	sweepBatch = 2
	none       = int32(-1)
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

// classQueue is one size class of one team, first-in first-out.
type classQueue struct {
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
	// virtualTime is the virtual time of the team's lanes.
	virtualTime float64
	tokens      int
	requests    int
	classes     [numClasses]classQueue
	// tagIndex and load are positions in the tier's heaps, or -1.
	tagIndex, loadIndex int32
	// inIdleList is true while the team is in its tier's idle list.
	inIdleList bool
}

// tier is the waiting work of one rank.
type tier struct {
	teamIndex map[string]int32
	// byTag orders active teams by tag, load by tokens against weight, most first.
	byTag, byLoad teamHeap
	idle          []int32
	// sweepPos is the position in idle that is looked at next.
	sweepPos     int
	virtualTime  float64
	activeWeight float64
	tokens       int
	requests     int
}

// New makes an empty Queue.
func New() *Queue {
	return &Queue{}
}

// Push adds work under a slot that is not in use.
func (q *Queue) Push(slot int32, w *fireflypath.Work) {
	q.insert(slot, w, false)
}

// Requeue puts work back before the other work of its lane, for an attempt of
// which nothing was sent.
func (q *Queue) Requeue(slot int32, w *fireflypath.Work) {
	q.insert(slot, w, true)
}

func (q *Queue) insert(slot int32, w *fireflypath.Work, front bool) {
	for int(slot) >= len(q.entries) {
		q.entries = append(q.entries, entry{})
	}
	r := &q.tiers[rankOf(w)]
	t := q.activateTeam(r, w)
	cost := max(w.Cost.Tokens(), 1)
	class := classOf(cost)
	q.entries[slot] = entry{work: w, cost: cost, prev: none, next: none, team: t, class: class}
	q.link(slot, &q.teams[t].classes[class], q.teams[t].virtualTime, front)
	q.account(r, t, cost, w.Bytes, 1)
	q.sweepIdleTeams(r)
}

// Remove takes the work out of the queue without charging its team.
func (q *Queue) Remove(slot int32) {
	q.remove(slot, false)
}

// Serve takes the work out and charges its team and size class for it.
func (q *Queue) Serve(slot int32) {
	q.remove(slot, true)
}

func (q *Queue) remove(slot int32, charge bool) {
	e := &q.entries[slot]
	r := &q.tiers[rankOf(e.work)]
	t := &q.teams[e.team]
	if charge {
		r.virtualTime = max(r.virtualTime, t.tag)
		t.tag += float64(e.cost) / t.weight
		l := &t.classes[e.class]
		t.virtualTime = max(t.virtualTime, l.tag)
		l.tag += float64(e.cost)
		r.byTag.update(q.teams, t.tagIndex, t.tag)
	}
	q.unlink(slot)
	q.account(r, e.team, -e.cost, -e.work.Bytes, -1)
	*e = entry{team: none}
	q.sweepIdleTeams(r)
}

// Head is the slot whose turn it is in a tier, or -1.
func (q *Queue) Head(rank int) int32 {
	r := &q.tiers[rank]
	if r.byTag.len() == 0 {
		return none
	}
	t := &q.teams[r.byTag.top()]
	best := none
	for i := range t.classes {
		l := &t.classes[i]
		if l.head == none {
			continue
		}
		if best == none || l.tag < t.classes[best].tag {
			best = int32(i)
		}
	}
	return t.classes[best].head
}

// Victim is the slot that gives way first in a tier, or -1: the youngest of the
// size class that holds most, in the team that holds most for its weight. It
// has the longest way to its turn and frees the most, so the least goodput is
// expected from it for the room it takes.
func (q *Queue) Victim(rank int) int32 {
	r := &q.tiers[rank]
	if r.byLoad.len() == 0 {
		return none
	}
	t := &q.teams[r.byLoad.top()]
	best := 0
	for i := range t.classes {
		if t.classes[i].tokens > t.classes[best].tokens {
			best = i
		}
	}
	return t.classes[best].tail
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

// TokensAhead is the work in tokens of w's own tier that is due before w, were it
// pushed now: what its team holds in w's class or below, and of other teams at
// most as much again for each team's weight.
func (q *Queue) TokensAhead(w *fireflypath.Work) int {
	r := &q.tiers[rankOf(w)]
	own, weight := 0.0, float64(max(w.Weight, 1))
	active := r.activeWeight + weight
	if i, ok := r.teamIndex[w.Team]; ok {
		t := &q.teams[i]
		own = t.tokensAhead(classOf(max(w.Cost.Tokens(), 1)))
		if t.requests > 0 {
			active -= t.weight
		}
	}
	fair := (own + float64(max(w.Cost.Tokens(), 1))) * active / weight
	return int(min(fair, float64(r.tokens)))
}

// tokensAhead is what a new request of the class waits for within its team: lanes take
// equal parts, so other classes pass at most as much as stands in its own.
func (t *team) tokensAhead(class int8) float64 {
	own := float64(t.classes[class].tokens)
	sum := own
	for i := range t.classes {
		if i != int(class) {
			sum += min(float64(t.classes[i].tokens), own+smallestClassCost)
		}
	}
	return sum
}

func (q *Queue) activateTeam(r *tier, w *fireflypath.Work) int32 {
	if r.teamIndex == nil {
		r.teamIndex = make(map[string]int32)
		r.byLoad.byLoad = true
	}
	weight := float64(max(w.Weight, 1))
	i, ok := r.teamIndex[w.Team]
	if !ok {
		i = q.allocTeam()
		t := &q.teams[i]
		t.name, t.tag, t.tagIndex, t.loadIndex = w.Team, r.virtualTime, none, none
		r.teamIndex[w.Team] = i
	}
	t := &q.teams[i]
	if t.requests == 0 {
		t.tag = max(t.tag, r.virtualTime)
		t.weight = weight
		r.activeWeight += weight
		r.byTag.push(q.teams, i, t.tag)
		r.byLoad.push(q.teams, i, 0)
	}
	return i
}

func (q *Queue) allocTeam() int32 {
	var i int32
	if n := len(q.free); n > 0 {
		i = q.free[n-1]
		q.free = q.free[:n-1]
	} else {
		q.teams = append(q.teams, team{})
		i = int32(len(q.teams) - 1)
	}
	q.teams[i] = team{}
	for c := range q.teams[i].classes {
		q.teams[i].classes[c] = classQueue{head: none, tail: none}
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
		r.byLoad.update(q.teams, t.loadIndex, -float64(t.tokens)/t.weight)
		return
	}
	r.activeWeight -= t.weight
	r.byTag.remove(q.teams, t.tagIndex)
	r.byLoad.remove(q.teams, t.loadIndex)
	t.tagIndex, t.loadIndex = none, none
	if !t.inIdleList {
		t.inIdleList = true
		r.idle = append(r.idle, i)
	}
}

// sweepIdleTeams frees idle teams whose tag the tier's virtual time has passed. A team
// freed before that would come back without what it was charged, and would be
// served before others by going idle after each long request.
func (q *Queue) sweepIdleTeams(r *tier) {
	for range min(sweepBatch, len(r.idle)) {
		if r.sweepPos >= len(r.idle) {
			r.sweepPos = 0
		}
		i := r.idle[r.sweepPos]
		t := &q.teams[i]
		if t.requests == 0 && t.tag > r.virtualTime && r.requests > 0 {
			r.sweepPos++
			continue
		}
		n := len(r.idle) - 1
		r.idle[r.sweepPos] = r.idle[n]
		r.idle = r.idle[:n]
		t.inIdleList = false
		if t.requests > 0 {
			continue
		}
		delete(r.teamIndex, t.name)
		*t = team{}
		q.free = append(q.free, i)
	}
}

func (q *Queue) link(slot int32, l *classQueue, base float64, front bool) {
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
	l := &q.teams[e.team].classes[e.class]
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

func rankOf(w *fireflypath.Work) int {
	return min(max(w.Rank, 0), Ranks-1)
}

func classOf(cost int) int8 {
	c := bits.Len(uint(cost/smallestClassCost)) + 1
	return int8(min(c/2, numClasses-1))
}
