// Package teamshare divides a pool's capacity among the teams of a rank in proportion to
// their weights.
//
// It is meant for an overload that lasts, with teams that send different amounts. Without
// it, requests of a rank are served by their goals alone, so all teams are refused at the
// same rate, and a team that sends more takes capacity from the others.
//
// Teams of a rank are scheduled by start-time fair queueing, like in package fair. A team's
// tag is the virtual time at which it has used its share; it grows by cost/weight when a
// request is dispatched and is corrected when the request ends. The team with the lowest
// tag goes first. A team that was idle starts at most creditTime behind the rank's virtual
// time, so that it gets no credit for a longer time in which it asked for nothing.
//
// Ranks have separate accounts. With one account for all ranks, a team that is served in a
// high rank, where there is enough for everybody, would be served last in the lower ones.
package teamshare

import (
	"math"
	"time"
)

const (
	// Ranks is the number of ranks with separate accounts; lower ones count as the last.
	Ranks = 16
	// DefaultWeight is the weight of a team whose configured weight is 1. Weights are
	// integers, and shares of quotas need a resolution of a tenth.
	DefaultWeight = 10
	// MaxAccounts bounds the accounts, each of one team in one rank. Beyond it, idle teams lose the record of their recent use, and if
	// none is idle, further teams share one account.
	MaxAccounts = 32_768
	// maxLeadTime bounds how far a team's tag is ahead of the virtual time: to what its share
	// earns in this time. One expensive request does not block its team for longer.
	maxLeadTime = 4 * time.Second
	// creditTime bounds how far a team's tag is behind the virtual time: to what its share
	// earns in this time. It lets a team catch up after a random gap in its requests.
	creditTime = maxLeadTime
	// turnTime is the resolution of the order of teams. Teams whose use differs by less than a
	// share earns in this time are served in the order of their requests.
	turnTime = 500 * time.Millisecond
	// recentTime is the time constant of the recent use that is shown to operators and of
	// the rate at which a rank's capacity is used.
	recentTime = 10 * time.Second
	// minPeriod is the shortest time of observation, in seconds, for the rate of use.
	minPeriod = 1
	// costWeight is the weight of a new request in a rank's mean cost.
	costWeight = 0.05
	// sweepBatch is how many idle accounts are checked per operation: two, so that they are
	// freed faster than one operation can add them.
	sweepBatch = 2
)

// Handle identifies an account while it has requests waiting or in flight.
type Handle int32

// None is the handle of no account.
const None Handle = -1

// Ledger holds the accounts of the teams that use a pool. It is not safe for concurrent use.
type Ledger struct {
	accounts []account
	index    map[key]Handle
	free     []Handle
	ranks    [Ranks]rankState
	// idle lists accounts without requests. sweepPos is the next position in it to check.
	idle     []Handle
	sweepPos int
	// counted lists the accounts with a count since the last call of ResetCounts.
	counted []Handle
	// limit is MaxAccounts, or less in tests.
	limit int
}

// key identifies an account.
type key struct {
	team string
	rank int8
}

// account is what one team uses in one rank.
type account struct {
	key
	weight float64
	// tag is the virtual time at which the team has used its share.
	tag float64
	// waiting and inFlight count the team's requests.
	waiting, inFlight int32
	// count is the number of requests counted since the last call of ResetCounts.
	count int32
	// recent is the use with exponential decay, as of updated.
	recent  float64
	updated time.Time
	// listed is true while the account is in the list of idle accounts.
	listed bool
}

// rankState is the state of one rank.
type rankState struct {
	// virtualTime is the highest tag at which a request was dispatched, and lastTag the highest tag.
	virtualTime, lastTag float64
	// weight and accounts sum up the accounts with requests.
	weight   float64
	accounts int
	meanCost float64
	// recent is the use of all accounts with exponential decay, as of updated.
	recent  float64
	updated time.Time
	// period is the time of observation in seconds, with the same decay.
	period float64
}

// New returns an empty Ledger.
func New() *Ledger {
	return &Ledger{index: map[key]Handle{}, limit: MaxAccounts}
}

// Join adds a waiting request of a team.
func (l *Ledger) Join(team string, rank, weight int) Handle {
	h := l.find(key{team: team, rank: rankIndex(rank)})
	a := &l.accounts[h]
	l.pin(a, weight)
	if a.waiting == 0 {
		a.tag = max(a.tag, l.ranks[a.rank].earliestTag())
	}
	a.waiting++
	return h
}

// Leave removes a waiting request that was not served. It costs the team nothing.
func (l *Ledger) Leave(h Handle) {
	l.accounts[h].waiting--
	l.unpin(h)
}

// Dispatch charges a waiting request that is sent to a target and returns the cost charged,
// which is less than the expected cost if the team's lead is at its bound.
func (l *Ledger) Dispatch(now time.Time, h Handle, cost float64) float64 {
	a := &l.accounts[h]
	r := &l.ranks[a.rank]
	r.virtualTime = max(r.virtualTime, a.tag)
	a.waiting--
	a.inFlight++
	if r.meanCost == 0 {
		r.meanCost = cost
	}
	r.meanCost += costWeight * (cost - r.meanCost)
	return l.charge(now, a, cost)
}

// Adopt charges a request in flight that another scheduler dispatched. Unlike Dispatch it
// leaves the virtual time as it is: the order in which such requests are reported says
// nothing of the order in which they were served.
func (l *Ledger) Adopt(now time.Time, team string, rank, weight int, cost float64) Handle {
	h := l.find(key{team: team, rank: rankIndex(rank)})
	a := &l.accounts[h]
	l.pin(a, weight)
	a.inFlight++
	l.count(now, a, cost)
	a.tag += cost / a.weight
	l.ranks[a.rank].lastTag = max(l.ranks[a.rank].lastTag, a.tag)
	return h
}

// End replaces the cost charged for a request in flight by what it used: 0 if it was not run.
func (l *Ledger) End(now time.Time, h Handle, charged, used float64) {
	a := &l.accounts[h]
	l.charge(now, a, used-charged)
	a.inFlight--
	l.unpin(h)
}

// Turn returns the team's place in the order of service, lowest first: its tag, rounded down to a
// multiple of what a share earns in turnTime.
func (l *Ledger) Turn(h Handle) float64 {
	a := &l.accounts[h]
	unit := l.ranks[a.rank].earned(turnTime, 0)
	if unit <= 0 {
		return a.tag
	}
	return math.Floor(a.tag / unit)
}

// Len returns the number of accounts held in memory.
func (l *Ledger) Len() int { return len(l.index) }

// ResetCounts begins a new count of waiting requests.
func (l *Ledger) ResetCounts() {
	for _, h := range l.counted {
		l.accounts[h].count = 0
	}
	l.counted = l.counted[:0]
}

// Count counts a waiting request of the account.
func (l *Ledger) Count(h Handle) {
	a := &l.accounts[h]
	if a.count == 0 {
		l.counted = append(l.counted, h)
	}
	a.count++
}

// Ahead returns how many of the requests counted are served before the account has been
// served own requests and is due the next one. Requests of the account itself are not
// included.
func (l *Ledger) Ahead(h Handle, own int) int {
	a := &l.accounts[h]
	cost := l.ranks[a.rank].meanCost
	due := a.tag + float64(own)*cost/a.weight
	sum := 0
	for _, o := range l.counted {
		b := &l.accounts[o]
		if o == h || b.tag >= due {
			continue
		}
		n := int(b.count)
		if cost > 0 {
			n = int(min(float64(n), math.Ceil((due-b.tag)*b.weight/cost)))
		}
		sum += n
	}
	return sum
}

// charge adds to an account's use and returns how much of it was added to its tag.
func (l *Ledger) charge(now time.Time, a *account, cost float64) float64 {
	l.count(now, a, cost)
	before := a.tag
	a.tag += cost / a.weight
	if cost <= 0 {
		return cost
	}
	r := &l.ranks[a.rank]
	maxLead := max(r.earned(maxLeadTime, a.weight), r.meanCost/a.weight)
	a.tag = max(min(a.tag, r.virtualTime+maxLead), before)
	r.lastTag = max(r.lastTag, a.tag)
	return (a.tag - before) * a.weight
}

// count adds to the recent use of an account and its rank.
func (l *Ledger) count(now time.Time, a *account, cost float64) {
	r := &l.ranks[a.rank]
	a.recent = max(a.recent*decay(now, a.updated)+cost, 0)
	r.recent = max(r.recent*decay(now, r.updated)+cost, 0)
	if !r.updated.IsZero() {
		r.period = r.period*decay(now, r.updated) + max(now.Sub(r.updated).Seconds(), 0)
	}
	a.updated, r.updated = now, now
}

// rate returns the use of the rank per second.
func (r *rankState) rate() float64 { return r.recent / max(r.period, minPeriod) }

// earned returns how far a team's share of the rank's capacity advances its tag in a time, while the team
// has the given weight and may not be counted yet.
func (r *rankState) earned(d time.Duration, weight float64) float64 {
	return d.Seconds() * r.rate() / max(r.weight, weight, 1)
}

// earliestTag returns the tag with which a team begins to wait if it has used little.
func (r *rankState) earliestTag() float64 { return r.virtualTime - r.earned(creditTime, 0) }

func rankIndex(rank int) int8 { return int8(min(max(rank, 0), Ranks-1)) }

// decay returns what is left of a recent use as of the time updated.
func decay(now, updated time.Time) float64 {
	elapsed := now.Sub(updated)
	if updated.IsZero() || elapsed <= 0 {
		return 1
	}
	return math.Exp(-elapsed.Seconds() / recentTime.Seconds())
}

// find returns the account with the key, and creates it if there is none.
func (l *Ledger) find(k key) Handle {
	if h, ok := l.index[k]; ok {
		return h
	}
	l.sweep()
	if len(l.index) >= l.limit && !l.evict() {
		k.team = overflowTeam
		if h, ok := l.index[k]; ok {
			return h
		}
	}
	var h Handle
	if n := len(l.free); n > 0 {
		h = l.free[n-1]
		l.free = l.free[:n-1]
	} else {
		l.accounts = append(l.accounts, account{})
		h = Handle(len(l.accounts) - 1)
	}
	l.accounts[h] = account{key: k, weight: DefaultWeight, tag: l.ranks[k.rank].earliestTag()}
	l.index[k] = h
	return h
}

// overflowTeam is the name of the account that teams share beyond the limit. No team has an
// empty name; requests without a team use the account as well.
const overflowTeam = ""

// pin counts the account among those with requests.
func (l *Ledger) pin(a *account, weight int) {
	r := &l.ranks[a.rank]
	if a.waiting+a.inFlight == 0 {
		a.weight = float64(max(weight, 1))
		r.weight += a.weight
		r.accounts++
		return
	}
	if v := float64(max(weight, 1)); v != a.weight && a.team != overflowTeam {
		r.weight += v - a.weight
		a.weight = v
	}
}

// unpin lists the account as idle if it has no requests left.
func (l *Ledger) unpin(h Handle) {
	a := &l.accounts[h]
	if a.waiting+a.inFlight > 0 {
		return
	}
	r := &l.ranks[a.rank]
	r.accounts--
	r.weight -= a.weight
	if r.accounts == 0 {
		// Nobody waits: what teams have used until now kept nobody else from anything.
		r.weight, r.virtualTime = 0, max(r.virtualTime, r.lastTag)
	}
	if !a.listed {
		a.listed = true
		l.idle = append(l.idle, h)
	}
	l.sweep()
}

// sweep frees idle accounts whose tag the virtual time has passed and which have not been
// used recently. A team freed earlier would return without the record of its use, and by
// being idle after each request it would be served before others.
func (l *Ledger) sweep() {
	for range min(sweepBatch, len(l.idle)) {
		if l.sweepPos >= len(l.idle) {
			l.sweepPos = 0
		}
		a := &l.accounts[l.idle[l.sweepPos]]
		r := &l.ranks[a.rank]
		if a.waiting+a.inFlight == 0 && (a.tag > r.earliestTag() || r.updated.Sub(a.updated) < recentTime) && !a.updated.IsZero() {
			l.sweepPos++
			continue
		}
		l.unlist(l.sweepPos)
	}
}

// evict frees one idle account although its tag is ahead. It reports whether there was one.
func (l *Ledger) evict() bool {
	for len(l.idle) > 0 {
		n := len(l.index)
		l.unlist(len(l.idle) - 1)
		if len(l.index) < n {
			return true
		}
	}
	return false
}

// unlist removes an account from the list of idle ones and frees it if it is idle.
func (l *Ledger) unlist(pos int) {
	h := l.idle[pos]
	n := len(l.idle) - 1
	l.idle[pos] = l.idle[n]
	l.idle = l.idle[:n]
	a := &l.accounts[h]
	a.listed = false
	if a.waiting+a.inFlight > 0 {
		return
	}
	delete(l.index, a.key)
	*a = account{}
	l.free = append(l.free, h)
}
