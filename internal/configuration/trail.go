package configuration

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
)

const (
	// maxTailLines and maxTailBytes bound the audit lines in the manifest, which a few
	// watchers in each failure domain read at every change.
	maxTailLines = 64
	maxTailBytes = 32 << 10
	// linesPerPage is the number of lines moved from the manifest to a page at a time.
	linesPerPage = 48
	// maxLookupPages is the number of pages in which an ID is looked up. Together with the
	// tail they hold at least 400 changes, which is two hours at 4,200 changes a day and far
	// longer than any client retries.
	maxLookupPages = 8
	// defaultRetainedPages bounds the trail if no setting does. It is about 10,000 lines, or
	// two days at that rate.
	defaultRetainedPages = 208
	// maxCommandBytes bounds the command in an audit line. A longer one is refused rather
	// than truncated.
	maxCommandBytes = 16 << 10
)

// page is an immutable chunk of audit lines, oldest first, linked to the page before it.
type page struct {
	Previous digest                  `json:"previous,omitempty"`
	Lines    []fireflypath.AuditLine `json:"lines"`
}

// SetRetention sets the minimum number of lines of the trail to keep. It must be called
// before Run. If daemons have different settings, that of the collecting daemon applies.
// At least maxLookupPages are kept, because an ID must be known for as long as its command
// may be repeated.
func (r *Registry) SetRetention(lines int) {
	r.retainedPages = max(maxLookupPages, (lines+linesPerPage-1)/linesPerPage)
}

// Trail returns up to n lines of the audit trail, newest first. If the store is unavailable,
// it returns the lines that this daemon has cached together with the error.
func (r *Registry) Trail(ctx context.Context, n int) ([]fireflypath.AuditLine, error) {
	m, err := r.latestManifest(ctx)
	if m == nil {
		return nil, err
	}
	out := appendReversed(nil, m.Tail, n)
	next := m.Trail
	for depth := 0; next != "" && len(out) < n && depth < r.retainedPages; depth++ {
		p, pageErr := r.readPage(ctx, next)
		if errors.Is(pageErr, fireflypath.ErrNotFound) {
			break
		}
		if pageErr != nil {
			return out, pageErr
		}
		out = appendReversed(out, p.Lines, n)
		next = p.Previous
	}
	return out, err
}

// appendReversed appends lines to out, last one first, until out has n.
func appendReversed(out, lines []fireflypath.AuditLine, n int) []fireflypath.AuditLine {
	for i := len(lines) - 1; i >= 0 && len(out) < n; i-- {
		out = append(out, lines[i])
	}
	return out
}

// latestManifest returns the manifest of the store, or the newest one read before together
// with the error if the store cannot be read.
func (r *Registry) latestManifest(ctx context.Context) (*manifest, error) {
	if r.store == nil {
		return nil, nil
	}
	m, _, err := r.readManifest(ctx)
	if err == nil {
		return m, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastManifest, err
}

// readPage returns a page of the trail from the cache or the store.
func (r *Registry) readPage(ctx context.Context, d digest) (*page, error) {
	r.mu.Lock()
	p := r.pageCache[d]
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
	if len(r.pageCache) > maxLookupPages {
		clear(r.pageCache)
	}
	r.pageCache[d] = p
	return p, nil
}

// lookup returns the line with the ID from the tail or the newest pages, or nil if there is
// none.
func (r *Registry) lookup(ctx context.Context, m *manifest, id string) (*fireflypath.AuditLine, error) {
	if m == nil {
		return nil, nil
	}
	if l := m.findInTail(id); l != nil {
		return l, nil
	}
	next := m.Trail
	for depth := 0; next != "" && depth < maxLookupPages; depth++ {
		p, err := r.readPage(ctx, next)
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

// appendLine appends a line to the manifest's tail. If the tail is too long, it moves the
// oldest lines to a new page, which it writes before the swap of the manifest that
// references it.
func (r *Registry) appendLine(ctx context.Context, m *manifest, l fireflypath.AuditLine) error {
	m.Tail = append(m.Tail[:len(m.Tail):len(m.Tail)], l)
	b, err := json.Marshal(m.Tail)
	if err != nil {
		return errors.Wrap(err, "encode the audit trail")
	}
	n := linesPerPage
	if len(m.Tail) <= maxTailLines {
		if len(b) <= maxTailBytes {
			return nil
		}
		n = max(1, len(m.Tail)/2)
	}
	p := page{Previous: m.Trail, Lines: m.Tail[:n]}
	raw, err := json.Marshal(p)
	if err != nil {
		return errors.Wrap(err, "encode the audit trail")
	}
	d := computeDigest(raw)
	if _, err := r.store.Put(ctx, trailPrefix+string(d), raw, fireflypath.AnyRevision, 0); err != nil {
		return errors.Wrap(err, "write the audit trail")
	}
	m.Trail = d
	m.Tail = append([]fireflypath.AuditLine(nil), m.Tail[n:]...)
	return nil
}
