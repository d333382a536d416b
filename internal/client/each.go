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

// atOnce bounds the daemons asked at the same time.
const atOnce = 16

// peer is a daemon and what it answered.
type peer struct {
	name, addr string
	answer     *eval.Result
	err        error
}

// QueryAll asks every live daemon. Counts are added up; other tables get a column
// with the daemon's name. A daemon that does not answer is named in a note, so
// that a sum is not taken for the whole.
func (c *Client) QueryAll(words string) (*eval.Result, error) {
	q, err := query.Parse(words)
	if err != nil {
		return nil, err
	}
	if q.Kind != query.KindList && q.Kind != query.KindCount && q.Kind != query.KindPercentile {
		return nil, errors.Wrap(ErrRefused, "only lists, counts and percentiles can be asked of each daemon")
	}
	peers, err := c.peers()
	if err != nil {
		return nil, err
	}
	ask := iter.Iterator[peer]{MaxGoroutines: atOnce}
	ask.ForEach(peers, func(p *peer) {
		at := &Client{opts: c.opts}
		at.opts.Addrs = []string{p.addr}
		at.connect()
		p.answer, p.err = at.Query(words)
	})
	t := &table.Table{}
	for _, p := range peers {
		if err := add(t, p); err != nil {
			return nil, err
		}
	}
	if q.Kind == query.KindCount {
		t = total(t)
	}
	return &eval.Result{Sections: []eval.Section{{Table: t}}}, nil
}

// peers reads the live daemons from the first one that answers.
func (c *Client) peers() ([]peer, error) {
	a, err := c.Query("daemons")
	if err != nil {
		return nil, err
	}
	scheme := ""
	if strings.HasPrefix(c.opts.Addrs[0], "https://") {
		scheme = "https://"
	}
	t := a.Sections[0].Table
	name, addr := t.Index("name"), t.Index("operator")
	if name < 0 || addr < 0 {
		return nil, errors.Wrap(ErrRefused, "the list of daemons has no addresses")
	}
	var out []peer
	for _, row := range t.Rows {
		out = append(out, peer{name: row[name].Text, addr: scheme + row[addr].Text})
	}
	return out, nil
}

// add appends a daemon's rows, or a note that it gave none. A query that is
// wrong is wrong at every daemon.
func add(t *table.Table, p peer) error {
	if p.err != nil {
		if !errors.IsAny(p.err, ErrUnreachable, ErrRefused) {
			return p.err
		}
		t.Notes = append(t.Notes, "daemon "+p.name+" is missing: "+p.err.Error())
		return nil
	}
	from := p.answer.Sections[0].Table
	t.Columns = append([]table.Column{{Name: "daemon", Kind: table.Text}}, from.Columns...)
	for _, row := range from.Rows {
		t.Rows = append(t.Rows, append(table.Row{table.Str(p.name)}, row...))
	}
	return nil
}

// total adds the counts up, by the column between the daemon's and the count's
// if there is one.
func total(t *table.Table) *table.Table {
	if len(t.Columns) == 0 {
		return t
	}
	last := len(t.Columns) - 1
	out := &table.Table{Columns: t.Columns[1:], Notes: t.Notes}
	for _, row := range t.Rows {
		merge(out, row[1:], last-1)
	}
	if last > 1 {
		kind := out.Columns[0].Kind
		sort.SliceStable(out.Rows, func(i, j int) bool {
			return table.Compare(kind, out.Rows[i][0], out.Rows[j][0]) < 0
		})
	}
	return out
}

// merge adds a row's count to the row with the same key.
func merge(t *table.Table, row table.Row, count int) {
	for _, have := range t.Rows {
		if count == 0 || table.Compare(t.Columns[0].Kind, have[0], row[0]) == 0 {
			have[count].Number += row[count].Number
			return
		}
	}
	t.Rows = append(t.Rows, row)
}
