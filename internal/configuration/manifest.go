package configuration

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
)

// The keys that a registry uses in the platform's service.
const (
	manifestKey = "config/manifest"
	chunkPrefix = "config/chunk/"
	trailPrefix = "config/trail/"
)

// lists holds the chunks of each list of a configuration, in order.
type lists struct {
	Tiers     []digest `json:"tiers,omitempty"`
	Teams     []digest `json:"teams,omitempty"`
	Pools     []digest `json:"pools,omitempty"`
	Targets   []digest `json:"targets,omitempty"`
	Rules     []digest `json:"rules,omitempty"`
	Operators []digest `json:"operators,omitempty"`
}

// all visits the lists in a fixed order.
func (l *lists) all() [6]*[]digest {
	return [6]*[]digest{&l.Tiers, &l.Teams, &l.Pools, &l.Targets, &l.Rules, &l.Operators}
}

// each visits every digest.
func (l *lists) each(fn func(digest)) {
	for _, ds := range l.all() {
		for _, d := range *ds {
			fn(d)
		}
	}
}

// outline names the content of one generation; it is what peers exchange.
type outline struct {
	Generation uint64 `json:"generation"`
	// Change is the id of the change that made the generation.
	Change string `json:"change"`
	Lists  lists  `json:"lists"`
}

// manifest is the value whose compare-and-swap commits a change. It carries the
// newest audit lines, so that no change can be in force without its line.
type manifest struct {
	outline
	// Tail holds the newest audit lines, oldest first.
	Tail []fireflypath.AuditLine `json:"tail"`
	// Trail is the newest chunk of older lines, empty if there is none.
	Trail digest `json:"trail,omitempty"`
}

func decodeManifest(b []byte) (*manifest, error) {
	m := new(manifest)
	if err := json.Unmarshal(b, m); err != nil {
		return nil, errors.Wrap(err, "decode the manifest")
	}
	return m, nil
}

// find returns the tail's line with an id, or nil.
func (m *manifest) find(id string) *fireflypath.AuditLine {
	return findLine(m.Tail, id)
}

func findLine(lines []fireflypath.AuditLine, id string) *fireflypath.AuditLine {
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].ID == id {
			return &lines[i]
		}
	}
	return nil
}

// winner names the change that was committed on top of a generation.
func (m *manifest) winner(base uint64) string {
	for _, l := range m.Tail {
		if l.From == base && l.To > l.From {
			return l.ID
		}
	}
	return m.Change
}

// encode cuts a configuration into chunks and names them.
func encode(c *fireflypath.Config) (lists, []chunk, error) {
	var l lists
	var all []chunk
	add := func(to *[]digest, cs []chunk, err error) error {
		for _, c := range cs {
			*to = append(*to, c.digest)
		}
		all = append(all, cs...)
		return err
	}
	tiers, err1 := split(c.Tiers, func(t *fireflypath.Tier) string { return t.Name })
	teams, err2 := split(c.Teams, func(t *fireflypath.Team) string { return t.Name })
	pools, err3 := split(c.Pools, func(p *fireflypath.Pool) string { return p.Name })
	targets, err4 := split(c.Targets, func(t *fireflypath.Target) string { return t.Name })
	rules, err5 := split(c.Rules, func(r *fireflypath.Rule) string { return r.Name })
	operators, err6 := split(c.Operators, func(o *fireflypath.Operator) string { return o.Name })
	err := errors.CombineErrors(add(&l.Tiers, tiers, err1), add(&l.Teams, teams, err2))
	err = errors.CombineErrors(err, add(&l.Pools, pools, err3))
	err = errors.CombineErrors(err, add(&l.Targets, targets, err4))
	err = errors.CombineErrors(err, add(&l.Rules, rules, err5))
	err = errors.CombineErrors(err, add(&l.Operators, operators, err6))
	return l, all, err
}

// decode joins chunks to a configuration; get returns a chunk's bytes.
func decode(o *outline, get func(digest) []byte) (*fireflypath.Config, error) {
	c := &fireflypath.Config{Generation: o.Generation}
	err := join(&c.Tiers, o.Lists.Tiers, get)
	err = errors.CombineErrors(err, join(&c.Teams, o.Lists.Teams, get))
	err = errors.CombineErrors(err, join(&c.Pools, o.Lists.Pools, get))
	err = errors.CombineErrors(err, join(&c.Targets, o.Lists.Targets, get))
	err = errors.CombineErrors(err, join(&c.Rules, o.Lists.Rules, get))
	err = errors.CombineErrors(err, join(&c.Operators, o.Lists.Operators, get))
	return c, err
}

// join reads a list's chunks. The list is exactly as large as its items: grown
// piece by piece, a fifth of it would stand empty.
func join[T any](to *[]T, ds []digest, get func(digest) []byte) error {
	parts := make([][]T, len(ds))
	for i, d := range ds {
		if err := json.Unmarshal(get(d), &parts[i]); err != nil {
			return errors.Wrapf(err, "decode chunk %s", d)
		}
	}
	*to = slices.Concat(parts...)
	return nil
}
