package eval

import (
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/query/table"
)

// recent is the span of ended requests that the living view sums up: long
// enough for a rate at a few requests a second, short enough to follow a burst.
const recent = 10 * time.Second

// top fills the living view: tiers, pools, targets and daemons.
func (e *Evaluator) top(a *Result) {
	cfg := e.src.Configs.Current()
	a.Lines = []string{"daemon " + e.src.Name + ", generation " + table.Num(cfg.Generation).String(table.Number)}
	a.Sections = []Section{
		{Title: "tiers, ended in the last " + recent.String(), Table: e.tiersNow(cfg)},
		{Title: "pools", Table: e.pools(cfg)},
		{Title: "targets", Table: e.targets(cfg)},
		{Title: "daemons", Table: e.daemons()},
	}
}

// tally sums up the ended requests of a tier.
type tally struct {
	answered, late, refused, failed int
	totals                          []table.Row
}

func (e *Evaluator) tiersNow(cfg *fireflypath.Config) *table.Table {
	t := columns(text("name"), number("rank"), number("waiting"), number("running"),
		number("answered"), number("late"), number("refused"), number("failed"), duration("p99"))
	ended := e.ended()
	demands := e.src.Demands()
	for _, tier := range cfg.Tiers {
		var waiting, running int
		for _, d := range demands {
			waiting += at(d.Waiting, tier.Rank)
			running += at(d.Running, tier.Rank)
		}
		y := ended[tier.Name]
		t.Rows = append(t.Rows, table.Row{
			table.Str(tier.Name), table.Num(tier.Rank), table.Num(waiting), table.Num(running),
			table.Num(y.answered), table.Num(y.late), table.Num(y.refused), table.Num(y.failed),
			percentile(y.totals, 0, 99),
		})
	}
	return t
}

func at(ranks []int, rank int) int {
	if rank < len(ranks) {
		return ranks[rank]
	}
	return 0
}

func (e *Evaluator) ended() map[string]tally {
	out := make(map[string]tally)
	since := e.src.Clock.Now().Add(-recent)
	e.src.Recorder.Each(func(r *fireflypath.Record) bool {
		if r.Ended.Before(since) {
			return false
		}
		y := out[r.Tier]
		y.add(r)
		out[r.Tier] = y
		return true
	})
	return out
}

func (y *tally) add(r *fireflypath.Record) {
	switch r.State {
	case fireflypath.StateAnswered.String():
		y.answered++
		if r.Ended.After(r.Deadline) {
			y.late++
		}
		y.totals = append(y.totals, table.Row{table.Between(r.Arrived, r.Ended)})
	case fireflypath.StateFailed.String():
		y.failed++
	default:
		y.refused++
	}
}
