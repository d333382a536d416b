package eval

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/query"
	"github.com/fireflypath/fireflypath/internal/query/table"
)

const (
	// trailLines bounds what a query on changes reads: two days at the letter's
	// 4,200 changes a day, some 3 MB.
	trailLines = 10_000
	// hashShown is as much of a key's hash as "revoke key" needs.
	hashShown = 12
)

func columns(spec ...table.Column) *table.Table {
	return &table.Table{Columns: spec}
}

func text(name string) table.Column     { return table.Column{Name: name, Kind: table.Text} }
func names(name string) table.Column    { return table.Column{Name: name, Kind: table.List} }
func number(name string) table.Column   { return table.Column{Name: name, Kind: table.Number} }
func duration(name string) table.Column { return table.Column{Name: name, Kind: table.Duration} }
func moment(name string) table.Column   { return table.Column{Name: name, Kind: table.Time} }
func flag(name string) table.Column     { return table.Column{Name: name, Kind: table.Bool} }

// table reads all rows of the query's noun.
func (e *Evaluator) table(ctx context.Context, q *query.Query) (*table.Table, error) {
	cfg := e.src.Configs.Current()
	switch q.Table {
	case "tiers":
		return tiers(cfg), nil
	case "teams":
		return teams(cfg), nil
	case "pools":
		return e.pools(cfg), nil
	case "targets":
		return e.targets(cfg), nil
	case "rules":
		return rules(cfg), nil
	case "operators":
		return operators(cfg), nil
	case "keys":
		return keys(cfg), nil
	case "daemons":
		return e.daemons(), nil
	case "requests":
		return e.requests(q)
	case "open":
		return e.openNow(), nil
	case "changes":
		return e.changes(ctx)
	default:
		return nil, errors.Newf("the list %q is not known", q.Table)
	}
}

func tiers(cfg *fireflypath.Config) *table.Table {
	t := columns(text("name"), number("rank"), duration("deadline"))
	for _, v := range cfg.Tiers {
		t.Rows = append(t.Rows, table.Row{table.Str(v.Name), table.Num(v.Rank), table.Dur(v.Deadline.Std())})
	}
	return t
}

func teams(cfg *fireflypath.Config) *table.Table {
	t := columns(text("name"), names("tier"), names("pool"), number("weight"), number("keys"))
	for _, v := range cfg.Teams {
		t.Rows = append(t.Rows, table.Row{
			table.Str(v.Name), table.Names(v.Tiers), table.Names(v.Pools),
			table.Num(max(v.Weight, 1)), table.Num(len(v.Keys)),
		})
	}
	return t
}

func (e *Evaluator) pools(cfg *fireflypath.Config) *table.Table {
	t := columns(text("name"), text("kind"), names("model"), number("targets"), number("drained"),
		number("waiting"), number("running"), number("queued"))
	demand := e.demand()
	for _, p := range cfg.Pools {
		d := demand[p.Name]
		targets, drained := poolTargets(cfg, p.Name)
		t.Rows = append(t.Rows, table.Row{
			table.Str(p.Name), table.Str(string(p.Kind)), table.Names(p.Models),
			table.Num(targets), table.Num(drained),
			table.Num(sum(d.Waiting)), table.Num(sum(d.Running)), table.Num(sum(d.WaitingRequests)),
		})
	}
	t.Notes = []string{"waiting and running in estimated tokens, queued in requests, at daemon " + e.src.Name}
	return t
}

func poolTargets(cfg *fireflypath.Config, pool string) (n, drained int) {
	for _, t := range cfg.Targets {
		if t.Pool != pool {
			continue
		}
		n++
		if t.Drained {
			drained++
		}
	}
	return n, drained
}

func (e *Evaluator) demand() map[string]fireflypath.Demand {
	out := make(map[string]fireflypath.Demand)
	for _, d := range e.src.Demands() {
		out[d.Pool] = d
	}
	return out
}

func sum(ranks []int) int {
	n := 0
	for _, v := range ranks {
		n += v
	}
	return n
}

func (e *Evaluator) targets(cfg *fireflypath.Config) *table.Table {
	t := columns(text("name"), text("pool"), text("addr"), text("domain"), flag("drained"), text("state"),
		number("window"), number("part"), number("held"), number("requests"),
		number("prefill"), number("decode"), duration("age"))
	views := make(map[string]fireflypath.TargetView)
	for _, v := range e.src.Views() {
		views[v.Target] = v
	}
	for _, v := range cfg.Targets {
		row := table.Row{
			table.Str(v.Name), table.Str(v.Pool), table.Str(v.Addr), table.Str(v.Domain), table.Flag(v.Drained),
		}
		view, known := views[v.Name]
		t.Rows = append(t.Rows, append(row, viewed(view, known)...))
	}
	t.Notes = []string{"state, window and rates as learned by daemon " + e.src.Name}
	return t
}

// viewed is empty for a target outside this daemon's subset.
func viewed(v fireflypath.TargetView, known bool) table.Row {
	if !known {
		none := table.Cell{Empty: true}
		return table.Row{none, none, none, none, none, none, none, none}
	}
	return table.Row{
		table.Str(v.State), table.Num(v.Window), table.Num(v.Share), table.Num(v.InFlight),
		table.Num(v.Requests), table.Num(v.PrefillRate), table.Num(v.DecodeRate),
		table.Age(v.Age),
	}
}

func rules(cfg *fireflypath.Config) *table.Table {
	t := columns(text("name"), text("act"), text("team"), text("tier"), text("pool"), number("above"), number("limit"))
	for _, v := range cfg.Rules {
		t.Rows = append(t.Rows, table.Row{
			table.Str(v.Name), table.Str(string(v.Act)), table.Str(v.Team), table.Str(v.Tier),
			table.Str(v.Pool), table.Num(v.Above), table.Num(v.Limit),
		})
	}
	return t
}

func operators(cfg *fireflypath.Config) *table.Table {
	t := columns(text("name"), text("role"), number("keys"))
	for _, v := range cfg.Operators {
		t.Rows = append(t.Rows, table.Row{table.Str(v.Name), table.Str(string(v.Role)), table.Num(len(v.Keys))})
	}
	return t
}

func keys(cfg *fireflypath.Config) *table.Table {
	t := columns(text("hash"), text("kind"), text("owner"), moment("until"))
	add := func(kind, owner string, list []fireflypath.Key) {
		for _, k := range list {
			hash := k.Hash[:min(hashShown, len(k.Hash))]
			t.Rows = append(t.Rows, table.Row{table.Str(hash), table.Str(kind), table.Str(owner), table.At(k.Until)})
		}
	}
	for _, v := range cfg.Teams {
		add("team", v.Name, v.Keys)
	}
	for _, v := range cfg.Operators {
		add("operator", v.Name, v.Keys)
	}
	return t
}
