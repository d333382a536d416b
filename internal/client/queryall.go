package client

import (
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/iter"

	"github.com/fireflypath/fireflypath/internal/query"
	"github.com/fireflypath/fireflypath/internal/query/eval"
	"github.com/fireflypath/fireflypath/internal/query/table"
)

// maxConcurrent is the maximum number of daemons that are queried at the same time.
const maxConcurrent = 16

// daemon is a daemon and its result.
type daemon struct {
	name, addr string
	result     *eval.Result
	err        error
}

// QueryAll runs a query on all live daemons. Counts are summed; other tables get a column with the
// daemon's name. Daemons that do not respond are named in a note, so that a partial sum is not
// mistaken for a complete one.
func (c *Client) QueryAll(text string) (*eval.Result, error) {
	q, err := query.Parse(text)
	if err != nil {
		return nil, err
	}
	if q.Kind != query.KindList && q.Kind != query.KindCount && q.Kind != query.KindPercentile {
		return nil, errors.Wrap(ErrRefused, "only lists, counts and percentiles can be asked of each daemon")
	}
	daemons, err := c.daemons()
	if err != nil {
		return nil, err
	}
	iterator := iter.Iterator[daemon]{MaxGoroutines: maxConcurrent}
	iterator.ForEach(daemons, func(d *daemon) {
		client := &Client{opts: c.opts}
		client.opts.Addrs = []string{d.addr}
		client.connect()
		d.result, d.err = client.Query(text)
	})
	t := &table.Table{}
	for _, d := range daemons {
		if err := appendRows(t, d); err != nil {
			return nil, err
		}
	}
	if q.Kind == query.KindCount {
		t = sumCounts(t)
	}
	return &eval.Result{Sections: []eval.Section{{Table: t}}}, nil
}

// daemons returns the live daemons, as listed by the first daemon that responds.
func (c *Client) daemons() ([]daemon, error) {
	res, err := c.Query("daemons")
	if err != nil {
		return nil, err
	}
	scheme := ""
	if strings.HasPrefix(c.opts.Addrs[0], "https://") {
		scheme = "https://"
	}
	t := res.Sections[0].Table
	name, addr := t.Index("name"), t.Index("operator")
	if name < 0 || addr < 0 {
		return nil, errors.Wrap(ErrRefused, "the list of daemons has no addresses")
	}
	var out []daemon
	for _, row := range t.Rows {
		out = append(out, daemon{name: row[name].Text, addr: scheme + row[addr].Text})
	}
	return out, nil
}

// appendRows appends a daemon's rows, or a note that it did not respond. It returns an error for an
// invalid query, which is invalid at every daemon.
func appendRows(t *table.Table, d daemon) error {
	if d.err != nil {
		if !errors.IsAny(d.err, ErrUnreachable, ErrRefused) {
			return d.err
		}
		t.Notes = append(t.Notes, "daemon "+d.name+" is missing: "+d.err.Error())
		return nil
	}
	from := d.result.Sections[0].Table
	t.Columns = append([]table.Column{{Name: "daemon", Kind: table.Text}}, from.Columns...)
	for _, row := range from.Rows {
		t.Rows = append(t.Rows, append(table.Row{table.Str(d.name)}, row...))
	}
	return nil
}

// sumCounts sums the counts of the daemons. If there is a column between the daemon and the count,
// the counts are grouped by it.
func sumCounts(t *table.Table) *table.Table {
	if len(t.Columns) == 0 {
		return t
	}
	last := len(t.Columns) - 1
	out := &table.Table{Columns: t.Columns[1:], Notes: t.Notes}
	for _, row := range t.Rows {
		addCount(out, row[1:], last-1)
	}
	if last > 1 {
		kind := out.Columns[0].Kind
		sort.SliceStable(out.Rows, func(i, j int) bool {
			return table.Compare(kind, out.Rows[i][0], out.Rows[j][0]) < 0
		})
	}
	return out
}

// addCount adds a row's count to the row with the same key, or appends the row.
func addCount(t *table.Table, row table.Row, count int) {
	for _, existing := range t.Rows {
		if count == 0 || table.Compare(t.Columns[0].Kind, existing[0], row[0]) == 0 {
			existing[count].Number += row[count].Number
			return
		}
	}
	t.Rows = append(t.Rows, row)
}
