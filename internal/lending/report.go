package lending

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath/internal/decide/lend"
	"github.com/fireflypath/fireflypath/internal/dispatch"
)

// report is what was last logged and counted of a pool.
type report struct {
	borrowing, lending episode
	counts             lend.Counts
}

// episode is a time in which a cell borrows or lends.
type episode struct {
	began time.Time
	most  int
}

// report logs the changes of state and updates the metrics.
func (l *Lending) report() {
	held, lent := 0, 0
	states := l.dispatch.LendingStates()
	for i := range states {
		s := &states[i]
		held, lent = held+s.Held, lent+s.Lent
		r := l.reports[s.Pool]
		if r == nil {
			r = &report{}
			l.reports[s.Pool] = r
		}
		l.count(r, s)
		if r.borrowing.update(l.clock.Now(), s.Held) {
			l.logBorrowing(r, s.Pool, s.Held)
		}
		if r.lending.update(l.clock.Now(), s.Lent) {
			l.logEpisode("lending", &r.lending, s.Pool, s.Lent, zap.Strings("borrowers", s.Borrowers), zap.Int("expired", s.Counts.Expired))
		}
	}
	for pool, r := range l.reports {
		if slices.ContainsFunc(states, func(s dispatch.LendingState) bool { return s.Pool == pool }) {
			continue
		}
		// Another daemon has become the dispatcher.
		if r.borrowing.update(l.clock.Now(), 0) {
			l.logBorrowing(r, pool, 0)
		}
		if r.lending.update(l.clock.Now(), 0) {
			l.logEpisode("lending", &r.lending, pool, 0)
		}
	}
	l.metrics.held.Update(float64(held))
	l.metrics.lent.Update(float64(lent))
}

func (l *Lending) logBorrowing(r *report, pool string, held int) {
	l.logEpisode("borrowing", &r.borrowing, pool, held, zap.Strings("lenders", l.takeLenders(pool, held == 0)))
}

func (l *Lending) count(r *report, s *dispatch.LendingState) {
	l.metrics.granted.Inc(int64(s.Counts.Granted - r.counts.Granted))
	l.metrics.refused.Inc(int64(s.Counts.Refused - r.counts.Refused))
	l.metrics.expired.Inc(int64(s.Counts.Expired - r.counts.Expired))
	r.counts = s.Counts
}

// update reports whether the episode begins or ends. After it has ended, began and most describe it
// until the next one begins.
func (e *episode) update(now time.Time, slots int) bool {
	switch {
	case e.most == 0 && slots > 0:
		e.began, e.most = now, slots
		return true
	case e.most > 0 && slots == 0:
		return true
	default:
		e.most = max(e.most, slots)
		return false
	}
}

func (l *Lending) logEpisode(what string, e *episode, pool string, slots int, more ...zap.Field) {
	fields := append([]zap.Field{zap.String("pool", pool)}, more...)
	if slots > 0 {
		l.log.Info(what+" slots begins", append(fields, zap.Int("slots", slots))...)
		return
	}
	l.log.Info(what+" slots ends", append(fields, zap.Int("most", e.most), zap.Duration("after", l.clock.Since(e.began)))...)
	*e = episode{}
}
