package dispatch

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/cell"
	"github.com/fireflypath/fireflypath/internal/decide/dispatcher"
	"github.com/fireflypath/fireflypath/internal/decide/lend"
)

const (
	// loanRefresh is the longest time between two messages about the same loans to a daemon, which
	// forgets them after lend.Linger.
	loanRefresh = 3 * time.Second
	// adoptPeriod is how long after it was chosen a dispatcher takes from the daemons what an earlier
	// one has lent. After that it knows better.
	adoptPeriod = 2 * time.Second
)

var (
	// ErrNotDispatcher is returned by AnswerAsk at a daemon that does not place the work of its cell.
	ErrNotDispatcher = errors.New("this daemon is not the dispatcher of its cell")
	errUnconfirmed   = errors.New("no other daemon of the cell has confirmed the grant")
)

// lentMessage is what a cell has lent, as its dispatcher tells the daemons.
type lentMessage struct {
	// Version grows with each change.
	Version uint64      `json:"v"`
	Loans   []lend.Loan `json:"l,omitempty"`
}

// sentLoans describes which loans a daemon was sent.
type sentLoans struct {
	version uint64
	at      time.Time
	// confirmed is the version that the daemon has confirmed.
	confirmed uint64
}

// owners holds the cells of a pool's targets, and what they were computed from.
type owners struct {
	layout  *cell.Layout
	targets int
	byName  map[string]int
}

// AskRequest is a request that is due to the dispatcher of another cell.
type AskRequest struct {
	Pool string
	Cell int
	Ask  lend.Ask
	// sentAt is when the request was made, by the boot-time clock.
	sentAt time.Duration
}

// LendingState describes what a cell has borrowed and lent in one pool.
type LendingState struct {
	Pool string
	// Held is the number of slots that it holds of Lenders other cells, Lent the number that count as
	// in use by others.
	Held, Lenders, Lent int
	// Borrowers are the dispatchers that Lent counts for.
	Borrowers []string
	Counts    lend.Counts
}

// PlanBorrowing returns the requests that are due to other cells, for the pools whose work this daemon
// places.
func (d *Dispatch) PlanBorrowing() []AskRequest {
	var out []AskRequest
	layout := d.fleet.Layout()
	if layout.CellCount() == 1 {
		return nil
	}
	for _, s := range d.allServers() {
		out = s.planBorrowing(layout, out)
	}
	return out
}

// LendingStates describes the pools whose work this daemon places.
func (d *Dispatch) LendingStates() []LendingState {
	var out []LendingState
	for _, s := range d.allServers() {
		s.mu.Lock()
		if l := s.lender(); l != nil {
			state := LendingState{Pool: s.pool}
			state.Held, state.Lenders, state.Lent, state.Counts = l.LendingState(s.now())
			if state.Lent > 0 {
				for _, loan := range l.Loans() {
					state.Borrowers = append(state.Borrowers, loan.Borrower)
				}
			}
			out = append(out, state)
		}
		s.mu.Unlock()
	}
	return out
}

// CellCandidates returns the daemons of a cell in the order in which they try each other as dispatcher.
func (d *Dispatch) CellCandidates(cell int) []fireflypath.Member {
	live := d.fleet.Live()
	return rank(live, d.fleet.Layout().MembersOf(cell), d.order(live, false))
}

// Dispatcher returns the name of the daemon that places the work of this one, or "".
func (d *Dispatch) Dispatcher(pool string) string {
	d.mu.Lock()
	c := d.clients[pool]
	d.mu.Unlock()
	if c == nil {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attachedTo
}

// AnswerAsk decides on the request of another cell's dispatcher.
func (d *Dispatch) AnswerAsk(pool, from string, ask *lend.Ask) (lend.Grant, error) {
	s := d.server(pool)
	if s == nil {
		return lend.Grant{}, ErrNotDispatcher
	}
	return s.answerAsk(from, ask)
}

// ApplyGrant applies the answer to a request.
func (d *Dispatch) ApplyGrant(r *AskRequest, g *lend.Grant) {
	if s := d.server(r.Pool); s != nil {
		s.change(func(now time.Time) {
			until := now.Add(r.sentAt + g.Lease.Std() - d.boot.Elapsed())
			s.queue.ApplyGrant(now, r.Cell, until, g)
		})
	}
}

// AskFailed records that a request was not answered.
func (d *Dispatch) AskFailed(r *AskRequest) {
	s := d.server(r.Pool)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.queue.Lender(); l != nil {
		l.AskFailed(s.now(), r.Cell)
	}
}

func (d *Dispatch) allServers() []*server {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*server, 0, len(d.servers))
	for _, s := range d.servers {
		out = append(out, s)
	}
	return out
}

// lender returns what lends and borrows if this daemon places the work of its cell, or nil. The caller
// holds mu.
func (s *server) lender() dispatcher.Lender {
	if l := s.queue.Lender(); l != nil && s.cellOnly && len(s.sessions) > 0 {
		return l
	}
	return nil
}

func (s *server) planBorrowing(layout *cell.Layout, out []AskRequest) []AskRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.lender()
	self := layout.ID(s.d.self)
	if l == nil || self == 0 {
		return out
	}
	now, sentAt := s.now(), s.d.boot.Elapsed()
	owner := func(target string) int {
		if cell := s.ownerOf(layout, target); cell != self {
			return cell
		}
		return 0
	}
	for _, c := range l.PlanBorrowing(now, layout.CellCount(), self, s.hasPartialView(), owner, nil) {
		c.Ask.Need, c.Ask.Used = slices.Clone(c.Ask.Need), slices.Clone(c.Ask.Used)
		out = append(out, AskRequest{Pool: s.pool, Cell: c.Cell, Ask: c.Ask, sentAt: sentAt})
	}
	return out
}

// ownerOf returns the cell of a target, or 0 if it is not known.
func (s *server) ownerOf(layout *cell.Layout, target string) int {
	if s.owners.layout != layout || s.owners.targets != s.targets {
		s.owners = owners{layout: layout, targets: s.targets, byName: layout.Owners(s.queue.TargetNames())}
	}
	return s.owners.byName[target]
}

// answerAsk answers a request. A grant is sent only after the daemon that would be the next dispatcher
// of the cell has confirmed that it knows it, and that it considers this daemon the dispatcher:
// otherwise another dispatcher would use the slots.
func (s *server) answerAsk(from string, ask *lend.Ask) (lend.Grant, error) {
	s.mu.Lock()
	if s.lender() == nil {
		s.mu.Unlock()
		return lend.Grant{}, ErrNotDispatcher
	}
	now := s.now()
	g := s.queue.AnswerAsk(now, from, ask, s.hasPartialView())
	deputy, sess := s.deputy()
	var m *decisionsMessage
	if g.Lease > 0 && sess != nil {
		m = &decisionsMessage{Pool: s.pool, Session: sess.id, At: s.sentAt(), Lent: s.unconfirmedLoans(sess)}
	}
	s.pushDecisions(now)
	s.mu.Unlock()
	if m == nil {
		return g, nil
	}
	known, err := s.call(deputy, m)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || !known {
		if l := s.queue.Lender(); l != nil {
			l.CancelGrant(from)
		}
		return lend.Grant{}, errUnconfirmed
	}
	if m.Lent != nil {
		sess.lent.confirmed = max(sess.lent.confirmed, m.Lent.Version)
	}
	return g, nil
}

// deputy returns the daemon that would be the next dispatcher, if the cell has another daemon. The
// caller holds mu.
func (s *server) deputy() (string, *session) {
	for _, m := range s.candidates() {
		if sess := s.sessions[m.Name]; sess != nil && m.Name != s.d.self {
			return m.Name, sess
		}
	}
	return "", nil
}

// unconfirmedLoans returns what is lent unless the daemon has confirmed that it knows it.
func (s *server) unconfirmedLoans(sess *session) *lentMessage {
	l := s.queue.Lender()
	if sess.lent.confirmed == l.LoanChanges() {
		return nil
	}
	return &lentMessage{Version: l.LoanChanges(), Loans: l.Loans()}
}

// takeLoans returns what is lent if the daemon does not know it.
func (s *server) takeLoans(now time.Time, sess *session) *lentMessage {
	l := s.queue.Lender()
	if l == nil || l.LoanChanges() == 0 {
		return nil
	}
	if sess.lent.version == l.LoanChanges() && now.Sub(sess.lent.at) < loanRefresh {
		return nil
	}
	loans := l.Loans()
	if sess.lent.version == l.LoanChanges() && len(loans) == 0 {
		return nil
	}
	sess.lent.version, sess.lent.at = l.LoanChanges(), now
	return &lentMessage{Version: l.LoanChanges(), Loans: loans}
}

// adoptLoans counts what an earlier dispatcher of the cell has lent, as a daemon tells it.
func (s *server) adoptLoans(now time.Time, loans []lend.Loan) {
	if l := s.queue.Lender(); l != nil && len(loans) > 0 && now.Sub(s.since) < adoptPeriod {
		l.AdoptLoans(now, loans, false)
	}
}

// loanKeeper is a scheduler that remembers what the daemon's cell has lent.
type loanKeeper interface {
	Lends() bool
	Loans() []lend.Loan
	AdoptLoans(now time.Time, loans []lend.Loan, replace bool)
}

// loans returns what the cell has lent, as far as this daemon knows.
func (c *client) loans() []lend.Loan {
	if k, ok := c.sched.Local.(loanKeeper); ok && k.Lends() {
		return k.Loans()
	}
	return nil
}

// applyLoans records what the dispatcher says of loans, unless it said something newer before.
func (c *client) applyLoans(m *lentMessage) {
	if m == nil {
		return
	}
	c.loansMu.Lock()
	defer c.loansMu.Unlock()
	c.mu.Lock()
	newer := m.Version >= c.lentVersion
	c.lentVersion = max(c.lentVersion, m.Version)
	c.mu.Unlock()
	if k, ok := c.sched.Local.(loanKeeper); ok && newer {
		c.pool.Update(func(now time.Time, out []fireflypath.Shed) []fireflypath.Shed {
			k.AdoptLoans(now, m.Loans, true)
			return out
		})
	}
}
