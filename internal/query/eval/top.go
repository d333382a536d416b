package eval

import (
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/query/table"
)

// topWindow is the period of ended requests that the overview summarizes: long enough for a rate
// at a few requests per second, short enough to follow a burst.
const topWindow = 10 * time.Second

// top fills in the overview of tiers, pools, targets and daemons.
func (e *Evaluator) top(res *Result) {
	cfg := e.src.Configs.Current()
	res.Lines = []string{"daemon " + e.src.Name + ", generation " + table.Num(cfg.Generation).String(table.Number)}
	res.Sections = []Section{
		{Title: "tiers, ended in the last " + topWindow.String(), Table: e.tierActivity(cfg)},
		{Title: "pools", Table: e.pools(cfg)},
		{Title: "targets", Table: e.targets(cfg)},
		{Title: "daemons", Table: e.daemons()},
	}
}

// outcomes counts the ended requests of a tier by outcome.
type outcomes struct {
	answered, late, refused, failed int
	totalTimes                      []table.Row
}

func (e *Evaluator) tierActivity(cfg *fireflypath.Config) *table.Table {
	t := newTable(textColumn("name"), numberColumn("rank"), numberColumn("waiting"), numberColumn("running"),
		numberColumn("answered"), numberColumn("late"), numberColumn("refused"), numberColumn("failed"), durationColumn("p99"))
	ended := e.recentOutcomes()
	demands := e.src.Demands()
	for _, tier := range cfg.Tiers {
		var waiting, running int
		for _, d := range demands {
			waiting += valueAtRank(d.Waiting, tier.Rank)
			running += valueAtRank(d.Running, tier.Rank)
		}
		counts := ended[tier.Name]
		t.Rows = append(t.Rows, table.Row{
			table.Str(tier.Name), table.Num(tier.Rank), table.Num(waiting), table.Num(running),
			table.Num(counts.answered), table.Num(counts.late), table.Num(counts.refused), table.Num(counts.failed),
			percentile(counts.totalTimes, 0, 99),
		})
	}
	return t
}

func valueAtRank(ranks []int, rank int) int {
	if rank < len(ranks) {
		return ranks[rank]
	}
	return 0
}

func (e *Evaluator) recentOutcomes() map[string]outcomes {
	out := make(map[string]outcomes)
	since := e.src.Clock.Now().Add(-topWindow)
	e.src.Recorder.Each(func(r *fireflypath.Record) bool {
		if r.Ended.Before(since) {
			return false
		}
		counts := out[r.Tier]
		counts.add(r)
		out[r.Tier] = counts
		return true
	})
	return out
}

func (o *outcomes) add(r *fireflypath.Record) {
	switch r.State {
	case fireflypath.StateAnswered.String():
		o.answered++
		if r.Ended.After(r.Deadline) {
			o.late++
		}
		o.totalTimes = append(o.totalTimes, table.Row{table.Between(r.Arrived, r.Ended)})
	case fireflypath.StateFailed.String():
		o.failed++
	default:
		o.refused++
	}
}
