package configuration

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
)

const (
	// tailLines and tailBytes bound the audit lines in the manifest, which a
	// few watchers per failure domain read with each change.
	tailLines = 64
	tailBytes = 32 << 10
	// pageLines is the number of lines moved out at once.
	pageLines = 48
	// idPages bounds how far back an id is looked for: with the tail at least
	// 400 changes, two hours at the letter's 4,200 a day, far above any retry.
	idPages = 8
	// keptPages bounds the trail where no setting does: about 10,000 lines, two
	// days at that rate.
	keptPages = 208
	// maxWords bounds one line; a longer command is refused, not cut.
	maxWords = 16 << 10
)

// page is a chunk of older audit lines, linked to the one before it.
type page struct {
	Previous digest                  `json:"previous,omitempty"`
	Lines    []fireflypath.AuditLine `json:"lines"`
}

// SetRetention sets how many lines of the trail are kept at least; it must be called
// before Run. Daemons with different settings keep what the one that collects
// is told. Ids are looked up in the newest pages whatever is kept.
func (r *Registry) SetRetention(lines int) {
	r.pages = max(idPages, (lines+pageLines-1)/pageLines)
}

// Trail reads the audit trail, newest first. While the service is down it
// returns what this daemon has together with the error.
func (r *Registry) Trail(ctx context.Context, n int) ([]fireflypath.AuditLine, error) {
	m, err := r.latest(ctx)
	if m == nil {
		return nil, err
	}
	out := appendNewest(nil, m.Tail, n)
	next := m.Trail
	for depth := 0; next != "" && len(out) < n && depth < r.pages; depth++ {
		p, perr := r.page(ctx, next)
		if errors.Is(perr, fireflypath.ErrNotFound) {
			break
		}
		if perr != nil {
			return out, perr
		}
		out = appendNewest(out, p.Lines, n)
		next = p.Previous
	}
	return out, err
}

func appendNewest(out, lines []fireflypath.AuditLine, n int) []fireflypath.AuditLine {
	for i := len(lines) - 1; i >= 0 && len(out) < n; i-- {
		out = append(out, lines[i])
	}
	return out
}

// latest is the store's manifest, or with an error the newest one read before.
func (r *Registry) latest(ctx context.Context) (*manifest, error) {
	if r.store == nil {
		return nil, nil
	}
	m, _, err := r.read(ctx)
	if err == nil {
		return m, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen, err
}

// page reads a chunk of the trail, from memory if it is there.
func (r *Registry) page(ctx context.Context, d digest) (*page, error) {
	r.mu.Lock()
	p := r.trail[d]
	r.mu.Unlock()
	if p != nil {
		return p, nil
	}
	e, err := r.store.Get(ctx, trailPrefix+string(d))
	if err != nil {
		return nil, errors.Wrapf(err, "read trail %s", d)
	}
	p = new(page)
	if err := json.Unmarshal(e.Value, p); err != nil {
		return nil, errors.Wrapf(err, "decode trail %s", d)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.trail) > idPages {
		clear(r.trail)
	}
	r.trail[d] = p
	return p, nil
}

// lookup finds an id in the tail or in the newest pages, or returns nil.
func (r *Registry) lookup(ctx context.Context, m *manifest, id string) (*fireflypath.AuditLine, error) {
	if m == nil {
		return nil, nil
	}
	if l := m.find(id); l != nil {
		return l, nil
	}
	next := m.Trail
	for depth := 0; next != "" && depth < idPages; depth++ {
		p, err := r.page(ctx, next)
		if errors.Is(err, fireflypath.ErrNotFound) {
			return nil, nil
		}
		if err != nil {
			return nil, err
		}
		if l := findLine(p.Lines, id); l != nil {
			return l, nil
		}
		next = p.Previous
	}
	return nil, nil
}

// appendLine adds a line to the manifest and moves older ones to a page, which
// is written before the swap that names it.
func (r *Registry) appendLine(ctx context.Context, m *manifest, l fireflypath.AuditLine) error {
	m.Tail = append(m.Tail[:len(m.Tail):len(m.Tail)], l)
	b, err := json.Marshal(m.Tail)
	if err != nil {
		return errors.Wrap(err, "encode the audit trail")
	}
	n := pageLines
	if len(m.Tail) <= tailLines {
		if len(b) <= tailBytes {
			return nil
		}
		n = max(1, len(m.Tail)/2)
	}
	p := page{Previous: m.Trail, Lines: m.Tail[:n]}
	raw, err := json.Marshal(p)
	if err != nil {
		return errors.Wrap(err, "encode the audit trail")
	}
	d := digestOf(raw)
	if _, err := r.store.Put(ctx, trailPrefix+string(d), raw, fireflypath.AnyRevision, 0); err != nil {
		return errors.Wrap(err, "write the audit trail")
	}
	m.Trail = d
	m.Tail = append([]fireflypath.AuditLine(nil), m.Tail[n:]...)
	return nil
}
