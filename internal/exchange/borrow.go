package exchange

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
)

const (
	methodBorrow = "borrow"
	// askEvery is the time between two rounds of questions, in which all pools
	// that are short ask together. With nine daemons that are short half of the
	// time, questions of each pool by itself four times a second cost 10 KB/s of
	// the letter's 3, twice a second together 0.9.
	askEvery = time.Second
	// askMax bounds the pause of a pool whose questions bring nothing, as when
	// all daemons are short.
	askMax = 4 * time.Second
	// askPeers is how many daemons are asked at once, those with most idle first.
	askPeers = 3
	// askTimeout is far above a millisecond or two; a loan that comes later is
	// worth little of its two seconds.
	askTimeout = 500 * time.Millisecond
)

// borrowAsk asks for parts of several pools in one call.
type borrowAsk struct {
	Lines []borrowLine `json:"l"`
}

// borrowLine is the need for one pool.
type borrowLine struct {
	Pool string `json:"p"`
	// Rank is the highest tier that waits; Part is the wanted part of the windows.
	Rank int     `json:"r"`
	Part float64 `json:"w"`
}

// borrowReply gives a part for each line of the question.
type borrowReply struct {
	Parts []float64 `json:"p"`
}

// request is a question to one peer.
type request struct {
	to  string
	ask borrowAsk
}

// lack is what one pool is short of.
type lack struct {
	pool    *pool
	line    borrowLine
	lenders []string
}

// needy collects what this daemon is short of, by the peer to ask. The caller
// holds mu.
func (x *Exchange) needy(now time.Time) []request {
	if now.Sub(x.lastAsk) < askEvery {
		return nil
	}
	var lacks []lack
	offers := map[string]int{}
	for name, p := range x.pools {
		rank, wanted := p.short(now)
		if wanted <= 0 || p.asking || now.Sub(p.asked) < p.pause {
			continue
		}
		l := lack{pool: p, line: borrowLine{Pool: name, Rank: rank, Part: wanted}, lenders: x.idlest(p, rank)}
		for _, n := range l.lenders {
			offers[n]++
		}
		lacks = append(lacks, l)
	}
	if len(offers) == 0 {
		return nil
	}
	x.lastAsk = now
	return requests(now, lacks, most(offers))
}

// most names the peers that can help most pools.
func most(offers map[string]int) []string {
	names := slices.Sorted(maps.Keys(offers))
	slices.SortStableFunc(names, func(a, b string) int { return offers[b] - offers[a] })
	return names[:min(askPeers, len(names))]
}

// requests sorts the needs by peer, one call for each.
func requests(now time.Time, lacks []lack, peers []string) []request {
	out := make([]request, len(peers))
	for i, n := range peers {
		out[i].to = n
	}
	for _, l := range lacks {
		lenders := 0
		for _, n := range peers {
			if slices.Contains(l.lenders, n) {
				lenders++
			}
		}
		if lenders == 0 {
			continue
		}
		l.pool.asked, l.pool.asking = now, true
		l.pool.pause = min(askMax, max(askEvery, 2*l.pool.pause))
		l.line.Part = max(l.line.Part/float64(lenders), 1/float64(l.pool.fresh.Slots))
		l.line.Part = math.Ceil(l.line.Part*partDigits) / partDigits
		for i, n := range peers {
			if slices.Contains(l.lenders, n) {
				out[i].ask.Lines = append(out[i].ask.Lines, l.line)
			}
		}
	}
	return slices.DeleteFunc(out, func(r request) bool { return len(r.ask.Lines) == 0 })
}

// short is the rank that waits and the part that it needs above the one in use.
func (p *pool) short(now time.Time) (int, float64) {
	waiting := sum(p.fresh.Requests)
	use := p.ledger.InUse(now)
	slots := float64(p.fresh.Slots)
	if waiting == 0 || slots == 0 || float64(sum(p.fresh.Busy)) < use*slots-1 {
		return 0, 0
	}
	rank := slices.IndexFunc(p.fresh.Requests, func(v int) bool { return v > 0 })
	return rank, min(1-use, float64(waiting)/slots)
}

// idlest names the mates that seem to have most idle slots, by their lines.
func (x *Exchange) idlest(p *pool, rank int) []string {
	self := x.members.Self().Name
	free := map[string]float64{}
	var names []string
	for i, n := range p.cell {
		d := p.heard[n]
		if n == self || i >= len(p.parts) {
			continue
		}
		urgent := d.Requests[:min(len(d.Requests), rank+1)]
		free[n] = p.parts[i]*float64(p.fresh.Slots) - float64(sum(d.Busy)+sum(urgent))
		if free[n] >= 1 {
			names = append(names, n)
		}
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(free[b], free[a]) })
	return names
}

// ask sends the questions; each pool has one round of them under way.
func (x *Exchange) ask(ctx context.Context, rs []request) {
	for _, r := range rs {
		to, ok := x.find(r.to)
		if !ok {
			x.answered(r)
			continue
		}
		x.wg.Go(func() {
			defer x.answered(r)
			asked := x.clock.Now()
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			var reply borrowReply
			x.count.asked.Inc(1)
			err := x.peers.Call(ctx, to, methodBorrow, r.ask, &reply)
			if err != nil || len(reply.Parts) != len(r.ask.Lines) {
				return
			}
			for i, l := range r.ask.Lines {
				x.Borrow(l.Pool, asked, reply.Parts[i])
			}
		})
	}
}

func (x *Exchange) find(name string) (fireflypath.Member, bool) {
	for _, m := range x.members.Live() {
		if m.Name == name {
			return m, true
		}
	}
	return fireflypath.Member{}, false
}

func (x *Exchange) answered(r request) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, l := range r.ask.Lines {
		if p := x.pools[l.Pool]; p != nil {
			p.asking = false
		}
	}
}

// Borrow uses a part that a peer gave, by a question asked at that time.
func (x *Exchange) Borrow(name string, asked time.Time, part float64) {
	if part <= 0 {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if p := x.pools[name]; p != nil {
		p.ledger.Borrow(asked, x.clock.Now(), part)
		p.pause = askEvery
		x.count.borrowed.Inc(1)
	}
}

// Lend gives away a part that work of the rank and above does not need here.
// The smaller part is in force before Lend returns.
func (x *Exchange) Lend(name string, rank int, wanted float64) float64 {
	x.refresh()
	x.applying.Lock()
	defer x.applying.Unlock()
	x.mu.Lock()
	p := x.pools[name]
	if p == nil {
		x.mu.Unlock()
		return 0
	}
	now := x.clock.Now()
	used := 0.0
	if slots := float64(p.fresh.Slots); slots > 0 {
		urgent := p.fresh.Requests[:min(len(p.fresh.Requests), rank+1)]
		used = float64(sum(p.fresh.Busy)+sum(urgent)) / slots
	}
	got := p.ledger.Lend(now, wanted, used, len(p.group))
	if got == 0 {
		x.mu.Unlock()
		return 0
	}
	p.applied = p.ledger.InUse(now)
	s := x.shareOf(p, p.applied)
	x.mu.Unlock()
	x.count.lent.Inc(1)
	x.cluster.ApplyShare(name, s)
	return got
}

// freePart is the most that goes with the work given up in one answer of a
// relief round. The other daemon asks for more again if it is
// short; more here would stand idle if it is not.
const freePart = 0.05

// Free lends a part to a daemon for whose work of the rank lower work was given
// up here.
func (x *Exchange) Free(pool string, rank, _ int) float64 {
	return x.Lend(pool, rank, freePart)
}

func (x *Exchange) answerBorrow(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var ask borrowAsk
	if err := json.Unmarshal(params, &ask); err != nil {
		return nil, errors.Wrap(err, "decode the question for a loan")
	}
	r := borrowReply{Parts: make([]float64, len(ask.Lines))}
	for i, l := range ask.Lines {
		r.Parts[i] = brieflyDown(x.Lend(l.Pool, l.Rank, l.Part))
	}
	return r, nil
}

// partDigits is the precision of parts on the wire: of 10,000 slots one. All
// digits of a float took a fifth of the bytes of questions for loans.
const partDigits = 10_000

// brieflyDown rounds a part down, so that no more is borrowed than was lent.
func brieflyDown(part float64) float64 {
	return math.Floor(part*partDigits) / partDigits
}
