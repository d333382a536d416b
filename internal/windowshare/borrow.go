package windowshare

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
	// borrowInterval is the time between two rounds of loan requests. All pools that are
	// short of slots ask together. With nine daemons that are short half of the time,
	// requests for each pool by itself four times a second took 10 KB/s, above the limit
	// of 3 KB/s for control traffic; joint requests twice a second took 0.9 KB/s.
	borrowInterval = time.Second
	// maxRetryDelay bounds the delay between the requests for a pool that bring no loan,
	// for example because all daemons are short.
	maxRetryDelay = 4 * time.Second
	// maxLenders is how many daemons are asked at once, those with the most idle slots
	// first.
	maxLenders = 3
	// borrowTimeout is far above the normal one or two milliseconds. A loan lasts two
	// seconds; one that arrives later than this is worth little.
	borrowTimeout = 500 * time.Millisecond
)

// borrowRequest asks for loans for several pools in one call.
type borrowRequest struct {
	Loans []loanRequest `json:"l"`
}

// loanRequest asks for a loan for one pool.
type loanRequest struct {
	Pool string `json:"p"`
	// Rank is the highest tier that waits. Fraction is the wanted fraction of the
	// windows.
	Rank     int     `json:"r"`
	Fraction float64 `json:"w"`
}

// borrowResponse has the lent fraction for each loan of the request.
type borrowResponse struct {
	Fractions []float64 `json:"p"`
}

// peerRequest is a request to one peer.
type peerRequest struct {
	to      string
	request borrowRequest
}

// shortage is what one pool is short of.
type shortage struct {
	pool    *pool
	loan    loanRequest
	lenders []string
}

// borrowRequests returns the loan requests that are due, by peer. The caller holds mu.
func (m *Manager) borrowRequests(now time.Time) []peerRequest {
	if now.Sub(m.lastBorrow) < borrowInterval {
		return nil
	}
	var shortages []shortage
	offers := map[string]int{}
	for name, p := range m.pools {
		rank, wanted := p.shortfall(now)
		if wanted <= 0 || p.asking || now.Sub(p.askedAt) < p.retryDelay {
			continue
		}
		s := shortage{pool: p, loan: loanRequest{Pool: name, Rank: rank, Fraction: wanted}, lenders: m.idlePeers(p, rank)}
		for _, n := range s.lenders {
			offers[n]++
		}
		shortages = append(shortages, s)
	}
	if len(offers) == 0 {
		return nil
	}
	m.lastBorrow = now
	return groupByLender(now, shortages, topLenders(offers))
}

// topLenders returns the peers that can lend to the most pools.
func topLenders(offers map[string]int) []string {
	names := slices.Sorted(maps.Keys(offers))
	slices.SortStableFunc(names, func(a, b string) int { return offers[b] - offers[a] })
	return names[:min(maxLenders, len(names))]
}

// groupByLender groups the shortages into one request per peer.
func groupByLender(now time.Time, shortages []shortage, peers []string) []peerRequest {
	out := make([]peerRequest, len(peers))
	for i, n := range peers {
		out[i].to = n
	}
	for _, s := range shortages {
		lenders := 0
		for _, n := range peers {
			if slices.Contains(s.lenders, n) {
				lenders++
			}
		}
		if lenders == 0 {
			continue
		}
		s.pool.askedAt, s.pool.asking = now, true
		s.pool.retryDelay = min(maxRetryDelay, max(borrowInterval, 2*s.pool.retryDelay))
		s.loan.Fraction = max(s.loan.Fraction/float64(lenders), 1/float64(s.pool.current.Slots))
		s.loan.Fraction = math.Ceil(s.loan.Fraction*fractionPrecision) / fractionPrecision
		for i, n := range peers {
			if slices.Contains(s.lenders, n) {
				out[i].request.Loans = append(out[i].request.Loans, s.loan)
			}
		}
	}
	return slices.DeleteFunc(out, func(r peerRequest) bool { return len(r.request.Loans) == 0 })
}

// shortfall returns the highest rank that waits and the fraction of the windows that
// the waiting requests need beyond the fraction in use.
func (p *pool) shortfall(now time.Time) (int, float64) {
	waiting := sum(p.current.WaitingRequests)
	use := p.ledger.InUse(now)
	slots := float64(p.current.Slots)
	if waiting == 0 || slots == 0 || float64(sum(p.current.RunningRequests)) < use*slots-1 {
		return 0, 0
	}
	rank := slices.IndexFunc(p.current.WaitingRequests, func(v int) bool { return v > 0 })
	return rank, min(1-use, float64(waiting)/slots)
}

// idlePeers returns the peers with an idle slot according to their demand, those with the
// most idle slots first.
func (m *Manager) idlePeers(p *pool, rank int) []string {
	self := m.members.Self().Name
	idle := map[string]float64{}
	var names []string
	for i, n := range p.cell {
		d := p.received[n]
		if n == self || i >= len(p.fractions) {
			continue
		}
		urgent := d.WaitingRequests[:min(len(d.WaitingRequests), rank+1)]
		idle[n] = p.fractions[i]*float64(p.current.Slots) - float64(sum(d.RunningRequests)+sum(urgent))
		if idle[n] >= 1 {
			names = append(names, n)
		}
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(idle[b], idle[a]) })
	return names
}

// sendBorrowRequests sends loan requests. Each pool has at most one round of them in
// progress.
func (m *Manager) sendBorrowRequests(ctx context.Context, rs []peerRequest) {
	for _, r := range rs {
		to, ok := m.findPeer(r.to)
		if !ok {
			m.finishRequest(r)
			continue
		}
		m.wg.Go(func() {
			defer m.finishRequest(r)
			asked := m.clock.Now()
			ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
			defer cancel()
			var resp borrowResponse
			m.metrics.asked.Inc(1)
			err := m.peers.Call(ctx, to, methodBorrow, r.request, &resp)
			if err != nil || len(resp.Fractions) != len(r.request.Loans) {
				return
			}
			for i, l := range r.request.Loans {
				m.Borrow(l.Pool, asked, resp.Fractions[i])
			}
		})
	}
}

func (m *Manager) findPeer(name string) (fireflypath.Member, bool) {
	for _, member := range m.members.Live() {
		if member.Name == name {
			return member, true
		}
	}
	return fireflypath.Member{}, false
}

func (m *Manager) finishRequest(r peerRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range r.request.Loans {
		if p := m.pools[l.Pool]; p != nil {
			p.asking = false
		}
	}
}

// Borrow adds a fraction that a peer lent to a request made at the time asked.
func (m *Manager) Borrow(name string, asked time.Time, fraction float64) {
	if fraction <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.pools[name]; p != nil {
		p.ledger.Borrow(asked, m.clock.Now(), fraction)
		p.retryDelay = borrowInterval
		m.metrics.borrowed.Inc(1)
	}
}

// Lend gives away a fraction of a pool's windows that work of the rank and above does
// not need here. The smaller fraction is in force before Lend returns.
func (m *Manager) Lend(name string, rank int, wanted float64) float64 {
	m.readDemands()
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	m.mu.Lock()
	p := m.pools[name]
	if p == nil {
		m.mu.Unlock()
		return 0
	}
	now := m.clock.Now()
	used := 0.0
	if slots := float64(p.current.Slots); slots > 0 {
		urgent := p.current.WaitingRequests[:min(len(p.current.WaitingRequests), rank+1)]
		used = float64(sum(p.current.RunningRequests)+sum(urgent)) / slots
	}
	lent := p.ledger.Lend(now, wanted, used, len(p.group))
	if lent == 0 {
		m.mu.Unlock()
		return 0
	}
	p.applied = p.ledger.InUse(now)
	s := m.shareOf(p, p.applied)
	m.mu.Unlock()
	m.metrics.lent.Inc(1)
	m.cluster.ApplyShare(name, s)
	return lent
}

// maxReliefFraction is the most that is lent along with the work shed in one response of
// a relief round. The borrower asks again if it needs more; if it does not, more would be
// idle there.
const maxReliefFraction = 0.05

// LendForRelief lends a fraction to a daemon for whose work of the rank lower-ranked work
// was shed here.
func (m *Manager) LendForRelief(pool string, rank, _ int) float64 {
	return m.Lend(pool, rank, maxReliefFraction)
}

func (m *Manager) handleBorrow(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var req borrowRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "decode the question for a loan")
	}
	resp := borrowResponse{Fractions: make([]float64, len(req.Loans))}
	for i, l := range req.Loans {
		resp.Fractions[i] = roundDown(m.Lend(l.Pool, l.Rank, l.Fraction))
	}
	return resp, nil
}

// fractionPrecision is the precision of fractions on the wire: one of 10,000 slots. With
// all digits of a float, the fractions took a fifth of the bytes of loan requests.
const fractionPrecision = 10_000

// roundDown rounds a fraction down, so that no more is borrowed than was lent.
func roundDown(fraction float64) float64 {
	return math.Floor(fraction*fractionPrecision) / fractionPrecision
}
