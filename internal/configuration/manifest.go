package configuration

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
)

// Keys that a registry uses in the platform's key-value store.
const (
	manifestKey = "config/manifest"
	chunkPrefix = "config/chunk/"
	trailPrefix = "config/trail/"
)

// chunkLists holds the digests of the chunks of each list of a configuration, in order.
type chunkLists struct {
	Tiers     []digest `json:"tiers,omitempty"`
	Teams     []digest `json:"teams,omitempty"`
	Pools     []digest `json:"pools,omitempty"`
	Targets   []digest `json:"targets,omitempty"`
	Rules     []digest `json:"rules,omitempty"`
	Operators []digest `json:"operators,omitempty"`
}

// all returns the lists in a fixed order, which is that of Update.Splices.
func (l *chunkLists) all() [6]*[]digest {
	return [6]*[]digest{&l.Tiers, &l.Teams, &l.Pools, &l.Targets, &l.Rules, &l.Operators}
}

// forEach calls fn with every digest.
func (l *chunkLists) forEach(fn func(digest)) {
	for _, ds := range l.all() {
		for _, d := range *ds {
			fn(d)
		}
	}
}

// generationIndex references the content of one generation. Peers exchange it as an Update.
type generationIndex struct {
	Generation uint64 `json:"generation"`
	// Change is the ID of the change that resulted in the generation.
	Change string     `json:"change"`
	Lists  chunkLists `json:"lists"`
}

// manifest is the value whose compare-and-swap commits a change. It contains the newest
// lines of the audit trail, so that no change is committed without its line.
type manifest struct {
	generationIndex
	// Tail holds the newest lines of the audit trail, oldest first.
	Tail []fireflypath.AuditLine `json:"tail"`
	// Trail is the digest of the newest page of older lines, empty if there is none.
	Trail digest `json:"trail,omitempty"`
}

func decodeManifest(b []byte) (*manifest, error) {
	m := new(manifest)
	if err := json.Unmarshal(b, m); err != nil {
		return nil, errors.Wrap(err, "decode the manifest")
	}
	return m, nil
}

// findInTail returns the line with the ID, or nil if the tail has none.
func (m *manifest) findInTail(id string) *fireflypath.AuditLine {
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

// changeAfter returns the ID of the change that was committed on top of a generation, or of
// the latest change if the tail no longer has that line.
func (m *manifest) changeAfter(base uint64) string {
	for _, l := range m.Tail {
		if l.From == base && l.To > l.From {
			return l.ID
		}
	}
	return m.Change
}

// encode splits a configuration into chunks and lists their digests.
func encode(c *fireflypath.Config) (chunkLists, []chunk, error) {
	var l chunkLists
	var chunks []chunk
	add := func(to *[]digest, cs []chunk, err error) error {
		for _, c := range cs {
			*to = append(*to, c.digest)
		}
		chunks = append(chunks, cs...)
		return err
	}
	tiers, err1 := splitIntoChunks(c.Tiers, func(t *fireflypath.Tier) string { return t.Name })
	teams, err2 := splitIntoChunks(c.Teams, func(t *fireflypath.Team) string { return t.Name })
	pools, err3 := splitIntoChunks(c.Pools, func(p *fireflypath.Pool) string { return p.Name })
	targets, err4 := splitIntoChunks(c.Targets, func(t *fireflypath.Target) string { return t.Name })
	rules, err5 := splitIntoChunks(c.Rules, func(r *fireflypath.Rule) string { return r.Name })
	operators, err6 := splitIntoChunks(c.Operators, func(o *fireflypath.Operator) string { return o.Name })
	err := errors.CombineErrors(add(&l.Tiers, tiers, err1), add(&l.Teams, teams, err2))
	err = errors.CombineErrors(err, add(&l.Pools, pools, err3))
	err = errors.CombineErrors(err, add(&l.Targets, targets, err4))
	err = errors.CombineErrors(err, add(&l.Rules, rules, err5))
	err = errors.CombineErrors(err, add(&l.Operators, operators, err6))
	return l, chunks, err
}

// decode builds the configuration of an index; get returns the bytes of a chunk.
func decode(o *generationIndex, get func(digest) []byte) (*fireflypath.Config, error) {
	c := &fireflypath.Config{Generation: o.Generation}
	err := decodeList(&c.Tiers, o.Lists.Tiers, get)
	err = errors.CombineErrors(err, decodeList(&c.Teams, o.Lists.Teams, get))
	err = errors.CombineErrors(err, decodeList(&c.Pools, o.Lists.Pools, get))
	err = errors.CombineErrors(err, decodeList(&c.Targets, o.Lists.Targets, get))
	err = errors.CombineErrors(err, decodeList(&c.Rules, o.Lists.Rules, get))
	err = errors.CombineErrors(err, decodeList(&c.Operators, o.Lists.Operators, get))
	return c, err
}

// decodeList decodes the chunks of a list. It allocates the list at once: with an append
// for each chunk, a fifth of its capacity remained unused.
func decodeList[T any](to *[]T, ds []digest, get func(digest) []byte) error {
	parts := make([][]T, len(ds))
	for i, d := range ds {
		if err := json.Unmarshal(get(d), &parts[i]); err != nil {
			return errors.Wrapf(err, "decode chunk %s", d)
		}
	}
	*to = slices.Concat(parts...)
	return nil
}
