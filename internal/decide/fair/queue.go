// Package fair orders waiting requests: strict priority between tiers, weighted fair
// queueing between teams, and short requests past long ones.
//
// Without it, one team's thousand requests are served before another team's single one,
// and a prompt a hundred times longer than the rest blocks the short prompts of its own
// team.
//
// Teams of a tier are scheduled by start-time fair queueing, with virtual time in tokens:
// a team's tag grows by cost/weight with each request, and the lowest tag is served next.
// Deficit round robin has the same unfairness bound, the largest single cost, but needs
// cost/quantum rounds over all teams before a long request is due. With lengths that
// differ by a factor of a hundred and 29,000 teams, that is millions of steps, where the
// heap of tags needs about fifteen.
package fair

import (
	"math/bits"

	"github.com/fireflypath/fireflypath"
)

const (
	// Ranks is the number of tier ranks (Tier.Rank is at most 15).
	Ranks = 16
	// numClasses is the number of size classes in a team's queue. Each spans a factor of
	// four, so five cover lengths that vary by a factor of a hundred.
	numClasses = 5
	// smallestClassCost is the cost in tokens below which a request is in the lowest
	// class: a short question with its answer.
	smallestClassCost = 512
	// sweepBatch is how many idle teams are checked per operation: two, so that idle teams
	// are freed faster than one operation can add them.
	sweepBatch = 2
	none       = int32(-1)
)

// Queue holds waiting requests by id, a small number chosen by the caller. All
// operations take at most logarithmic time in the number of teams.
type Queue struct {
	entries []entry
	tiers   [Ranks]tier
	teams   []team
	free    []int32
	bytes   int
	length  int
}

// entry is a waiting request, a node of its class queue's doubly linked list.
type entry struct {
	work       *fireflypath.Work
	cost       int
	prev, next int32
	team       int32
	class      int8
}

// classQueue is the FIFO queue of one size class of one team.
type classQueue struct {
	head, tail int32
	tokens     int
	// tag is the class's virtual time within its team.
	tag float64
}

// team holds the waiting requests of one team in one tier.
type team struct {
	name   string
	weight float64
	// tag is the virtual start time of the team's next request.
	tag float64
	// virtualTime is the virtual time of the team's class queues.
	virtualTime float64
	tokens      int
	requests    int
	classes     [numClasses]classQueue
	// tagIndex and loadIndex are positions in the tier's heaps, or -1.
	tagIndex, loadIndex int32
	// inIdleList is true while the team is in its tier's idle list.
	inIdleList bool
}

// tier holds the waiting requests of one rank.
type tier struct {
	teamIndex map[string]int32
	// byTag orders active teams by tag, byLoad by tokens per weight, largest first.
	byTag, byLoad teamHeap
	idle          []int32
	// sweepPos is the next position in idle to check.
	sweepPos     int
	virtualTime  float64
	activeWeight float64
	tokens       int
	requests     int
}

// New returns an empty Queue.
func New() *Queue {
	return &Queue{}
}

// Push adds a request under an id that is not in use.
func (q *Queue) Push(id int32, w *fireflypath.Work) {
	q.insert(id, w, false)
}

// Requeue puts a request at the head of its class queue, after an attempt of which nothing
// was sent.
func (q *Queue) Requeue(id int32, w *fireflypath.Work) {
	q.insert(id, w, true)
}

func (q *Queue) insert(id int32, w *fireflypath.Work, front bool) {
	for int(id) >= len(q.entries) {
		q.entries = append(q.entries, entry{})
	}
	tr := &q.tiers[rankOf(w)]
	t := q.activateTeam(tr, w)
	cost := max(w.Cost.Tokens(), 1)
	class := classOf(cost)
	q.entries[id] = entry{work: w, cost: cost, prev: none, next: none, team: t, class: class}
	q.link(id, &q.teams[t].classes[class], q.teams[t].virtualTime, front)
	q.account(tr, t, cost, w.Bytes, 1)
	q.sweepIdleTeams(tr)
}

// Remove takes the request out of the queue without charging its team.
func (q *Queue) Remove(id int32) {
	q.remove(id, false)
}

// Serve takes the request out and charges its cost to its team and size class.
func (q *Queue) Serve(id int32) {
	q.remove(id, true)
}

func (q *Queue) remove(id int32, charge bool) {
	e := &q.entries[id]
	tr := &q.tiers[rankOf(e.work)]
	t := &q.teams[e.team]
	if charge {
		tr.virtualTime = max(tr.virtualTime, t.tag)
		t.tag += float64(e.cost) / t.weight
		c := &t.classes[e.class]
		t.virtualTime = max(t.virtualTime, c.tag)
		c.tag += float64(e.cost)
		tr.byTag.update(q.teams, t.tagIndex, t.tag)
	}
	q.unlink(id)
	q.account(tr, e.team, -e.cost, -e.work.Bytes, -1)
	*e = entry{team: none}
	q.sweepIdleTeams(tr)
}

// Head is the id of the next request of a tier, or -1.
func (q *Queue) Head(rank int) int32 {
	tr := &q.tiers[rank]
	if tr.byTag.len() == 0 {
		return none
	}
	t := &q.teams[tr.byTag.top()]
	best := none
	for i := range t.classes {
		c := &t.classes[i]
		if c.head == none {
			continue
		}
		if best == none || c.tag < t.classes[best].tag {
			best = int32(i)
		}
	}
	return t.classes[best].head
}

// Victim is the id of the request to drop first in a tier, or -1: the newest one of the
// size class with most tokens, in the team with most tokens per weight. It would wait
// longest and frees the most, so it has the least expected goodput for the room it takes.
func (q *Queue) Victim(rank int) int32 {
	tr := &q.tiers[rank]
	if tr.byLoad.len() == 0 {
		return none
	}
	t := &q.teams[tr.byLoad.top()]
	best := 0
	for i := range t.classes {
		if t.classes[i].tokens > t.classes[best].tokens {
			best = i
		}
	}
	return t.classes[best].tail
}

// Work is the request with the id.
func (q *Queue) Work(id int32) *fireflypath.Work {
	return q.entries[id].work
}

// Len is the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// Bytes is the memory held by waiting requests.
func (q *Queue) Bytes() int { return q.bytes }

// Tokens is the estimated number of tokens waiting in a rank.
func (q *Queue) Tokens(rank int) int { return q.tiers[rank].tokens }

// Requests is the number of waiting requests of a rank.
func (q *Queue) Requests(rank int) int { return q.tiers[rank].requests }

// Teams is the number of teams held in memory.
func (q *Queue) Teams() int { return len(q.teams) - len(q.free) }

// TokensAhead estimates the tokens of w's tier that would be served before w if it were
// pushed now: what its team has in w's class or below, and from other teams at most as
// much again in proportion to their weights.
func (q *Queue) TokensAhead(w *fireflypath.Work) int {
	tr := &q.tiers[rankOf(w)]
	own, weight := 0.0, float64(max(w.Weight, 1))
	active := tr.activeWeight + weight
	if i, ok := tr.teamIndex[w.Team]; ok {
		t := &q.teams[i]
		own = t.tokensAhead(classOf(max(w.Cost.Tokens(), 1)))
		if t.requests > 0 {
			active -= t.weight
		}
	}
	fairShare := (own + float64(max(w.Cost.Tokens(), 1))) * active / weight
	return int(min(fairShare, float64(tr.tokens)))
}

// tokensAhead is how many of the team's own tokens a new request of the class waits for.
// Class queues get equal shares, so each other class is served at most as much as is
// waiting in the request's own class.
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

func (q *Queue) activateTeam(tr *tier, w *fireflypath.Work) int32 {
	if tr.teamIndex == nil {
		tr.teamIndex = make(map[string]int32)
		tr.byLoad.byLoad = true
	}
	weight := float64(max(w.Weight, 1))
	i, ok := tr.teamIndex[w.Team]
	if !ok {
		i = q.allocTeam()
		t := &q.teams[i]
		t.name, t.tag, t.tagIndex, t.loadIndex = w.Team, tr.virtualTime, none, none
		tr.teamIndex[w.Team] = i
	}
	t := &q.teams[i]
	if t.requests == 0 {
		t.tag = max(t.tag, tr.virtualTime)
		t.weight = weight
		tr.activeWeight += weight
		tr.byTag.push(q.teams, i, t.tag)
		tr.byLoad.push(q.teams, i, 0)
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

// account adds to (or subtracts from) the totals and keeps the heaps and the idle list.
func (q *Queue) account(tr *tier, i int32, cost, bytes, n int) {
	t := &q.teams[i]
	t.tokens += cost
	t.requests += n
	tr.tokens += cost
	tr.requests += n
	q.bytes += bytes
	q.length += n
	if t.requests > 0 {
		tr.byLoad.update(q.teams, t.loadIndex, -float64(t.tokens)/t.weight)
		return
	}
	tr.activeWeight -= t.weight
	tr.byTag.remove(q.teams, t.tagIndex)
	tr.byLoad.remove(q.teams, t.loadIndex)
	t.tagIndex, t.loadIndex = none, none
	if !t.inIdleList {
		t.inIdleList = true
		tr.idle = append(tr.idle, i)
	}
}

// sweepIdleTeams frees idle teams whose tag the tier's virtual time has passed. A team
// freed earlier would return without its past charges, so by going idle after each long
// request it would be served before others.
func (q *Queue) sweepIdleTeams(tr *tier) {
	for range min(sweepBatch, len(tr.idle)) {
		if tr.sweepPos >= len(tr.idle) {
			tr.sweepPos = 0
		}
		i := tr.idle[tr.sweepPos]
		t := &q.teams[i]
		if t.requests == 0 && t.tag > tr.virtualTime && tr.requests > 0 {
			tr.sweepPos++
			continue
		}
		n := len(tr.idle) - 1
		tr.idle[tr.sweepPos] = tr.idle[n]
		tr.idle = tr.idle[:n]
		t.inIdleList = false
		if t.requests > 0 {
			continue
		}
		delete(tr.teamIndex, t.name)
		*t = team{}
		q.free = append(q.free, i)
	}
}

func (q *Queue) link(id int32, c *classQueue, virtualTime float64, front bool) {
	e := &q.entries[id]
	c.tokens += e.cost
	if c.head == none {
		c.tag = max(c.tag, virtualTime)
		c.head, c.tail = id, id
		return
	}
	if front {
		e.next = c.head
		q.entries[c.head].prev = id
		c.head = id
		return
	}
	e.prev = c.tail
	q.entries[c.tail].next = id
	c.tail = id
}

func (q *Queue) unlink(id int32) {
	e := &q.entries[id]
	c := &q.teams[e.team].classes[e.class]
	c.tokens -= e.cost
	if e.prev == none {
		c.head = e.next
	} else {
		q.entries[e.prev].next = e.next
	}
	if e.next == none {
		c.tail = e.prev
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
