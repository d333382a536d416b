package eval

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/query"
	"github.com/fireflypath/fireflypath/internal/query/table"
)

const (
	// maxAuditLines is the number of audit lines that a query on changes reads: two days at the
	// required 4,200 changes per day, about 3 MB.
	maxAuditLines = 10_000
	// hashPrefixLength is how much of a key's hash is shown, which is enough for "revoke key".
	hashPrefixLength = 12
)

func newTable(spec ...table.Column) *table.Table {
	return &table.Table{Columns: spec}
}

func textColumn(name string) table.Column   { return table.Column{Name: name, Kind: table.Text} }
func listColumn(name string) table.Column   { return table.Column{Name: name, Kind: table.List} }
func numberColumn(name string) table.Column { return table.Column{Name: name, Kind: table.Number} }

func durationColumn(name string) table.Column { return table.Column{Name: name, Kind: table.Duration} }
func timeColumn(name string) table.Column     { return table.Column{Name: name, Kind: table.Time} }
func boolColumn(name string) table.Column     { return table.Column{Name: name, Kind: table.Bool} }

// readTable reads all rows of the query's table.
func (e *Evaluator) readTable(ctx context.Context, q *query.Query) (*table.Table, error) {
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
	case "rollouts":
		return rollouts(cfg), nil
	case "requests":
		return e.requests(q)
	case "open":
		return e.openRequests(), nil
	case "changes":
		return e.changes(ctx)
	default:
		return nil, errors.Newf("the list %q is not known", q.Table)
	}
}

func tiers(cfg *fireflypath.Config) *table.Table {
	t := newTable(textColumn("name"), numberColumn("rank"), durationColumn("deadline"))
	for _, v := range cfg.Tiers {
		t.Rows = append(t.Rows, table.Row{table.Str(v.Name), table.Num(v.Rank), table.Dur(v.Deadline.Std())})
	}
	return t
}

// rollouts lists the ordered versions, with what is stored of their trials. The counts are as of the last
// write of the holder, about once a second.
func rollouts(cfg *fireflypath.Config) *table.Table {
	t := newTable(
		textColumn("pool"), textColumn("version"), textColumn("phase"), boolColumn("decided"), textColumn("holder"), numberColumn("targets"),
		numberColumn("responses"), numberColumn("failed"), numberColumn("old"), numberColumn("slack"), textColumn("why"),
	)
	for i := range cfg.Rollouts {
		v := &cfg.Rollouts[i]
		r, phase := fireflypath.RolloutRecord{}, "untried"
		if v.Tried {
			r, phase = v.Record, string(v.Record.Phase)
		}
		t.Rows = append(t.Rows, table.Row{
			table.Str(v.Pool), table.Str(v.Version), table.Str(phase), table.Flag(v.Decided), table.Str(r.Holder), table.Num(len(v.Targets)),
			table.Num(r.Tried), table.Num(r.Failed), table.Num(r.Old), table.Num(r.Reserved), table.Str(r.Why),
		})
	}
	return t
}

func teams(cfg *fireflypath.Config) *table.Table {
	t := newTable(textColumn("name"), listColumn("tier"), listColumn("pool"), numberColumn("weight"), numberColumn("keys"))
	for _, v := range cfg.Teams {
		t.Rows = append(t.Rows, table.Row{
			table.Str(v.Name), table.Names(v.Tiers), table.Names(v.Pools),
			table.Num(max(v.Weight, 1)), table.Num(len(v.Keys)),
		})
	}
	return t
}

func (e *Evaluator) pools(cfg *fireflypath.Config) *table.Table {
	t := newTable(textColumn("name"), textColumn("kind"), listColumn("model"), numberColumn("targets"), numberColumn("drained"),
		numberColumn("waiting"), numberColumn("running"), numberColumn("queued"))
	demand := e.demandByPool()
	for _, p := range cfg.Pools {
		d := demand[p.Name]
		targets, drained := countTargets(cfg, p.Name)
		t.Rows = append(t.Rows, table.Row{
			table.Str(p.Name), table.Str(string(p.Kind)), table.Names(p.Models),
			table.Num(targets), table.Num(drained),
			table.Num(sum(d.Waiting)), table.Num(sum(d.Running)), table.Num(sum(d.WaitingRequests)),
		})
	}
	t.Notes = []string{"waiting and running in estimated tokens, queued in requests, at daemon " + e.src.Name}
	return t
}

func countTargets(cfg *fireflypath.Config, pool string) (n, drained int) {
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

func (e *Evaluator) demandByPool() map[string]fireflypath.Demand {
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
	t := newTable(textColumn("name"), textColumn("pool"), textColumn("addr"), textColumn("domain"), boolColumn("drained"), textColumn("state"),
		numberColumn("window"), numberColumn("part"), numberColumn("held"), numberColumn("requests"),
		numberColumn("prefill"), numberColumn("decode"), durationColumn("age"))
	views := make(map[string]fireflypath.TargetView)
	for _, v := range e.src.Views() {
		views[v.Target] = v
	}
	for _, v := range cfg.Targets {
		row := table.Row{
			table.Str(v.Name), table.Str(v.Pool), table.Str(v.Addr), table.Str(v.Domain), table.Flag(v.Drained),
		}
		view, known := views[v.Name]
		t.Rows = append(t.Rows, append(row, viewCells(view, known)...))
	}
	t.Notes = []string{"state, window and rates as learned by daemon " + e.src.Name}
	return t
}

// viewCells returns the cells of a target's view, empty ones for a target outside of this daemon's
// subset.
func viewCells(v fireflypath.TargetView, known bool) table.Row {
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
	t := newTable(textColumn("name"), textColumn("act"), textColumn("team"), textColumn("tier"), textColumn("pool"), numberColumn("above"), numberColumn("limit"))
	for _, v := range cfg.Rules {
		t.Rows = append(t.Rows, table.Row{
			table.Str(v.Name), table.Str(string(v.Act)), table.Str(v.Team), table.Str(v.Tier),
			table.Str(v.Pool), table.Num(v.Above), table.Num(v.Limit),
		})
	}
	return t
}

func operators(cfg *fireflypath.Config) *table.Table {
	t := newTable(textColumn("name"), textColumn("role"), numberColumn("keys"))
	for _, v := range cfg.Operators {
		t.Rows = append(t.Rows, table.Row{table.Str(v.Name), table.Str(string(v.Role)), table.Num(len(v.Keys))})
	}
	return t
}

func keys(cfg *fireflypath.Config) *table.Table {
	t := newTable(textColumn("hash"), textColumn("kind"), textColumn("owner"), timeColumn("until"))
	add := func(kind, owner string, list []fireflypath.Key) {
		for _, k := range list {
			hash := k.Hash[:min(hashPrefixLength, len(k.Hash))]
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
