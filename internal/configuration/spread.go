package configuration

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// replyBytes bounds the chunks in one reply to a peer, far below the largest
// message between daemons.
const replyBytes = 256 << 10

// Update tells a peer what a generation consists of, as a difference to one
// that the peer has. At 29,000 teams the whole would be 40 KB for each change.
type Update struct {
	Generation uint64 `json:"generation"`
	Change     string `json:"change,omitempty"`
	// Base is the generation that Splices refer to; 0 is the empty one.
	Base uint64 `json:"base,omitempty"`
	// Splices are in the order of the lists.
	Splices [6]Splice `json:"splices"`
}

// Splice keeps Head digests from the front and Tail from the back of a list and
// puts Middle between them.
type Splice struct {
	Head   int      `json:"head,omitempty"`
	Tail   int      `json:"tail,omitempty"`
	Middle []digest `json:"middle,omitempty"`
}

// Source is a peer that has a newer generation.
type Source interface {
	// Update asks for the outline of its generation, given the one that is here.
	Update(ctx context.Context, have uint64) (Update, error)
	// Chunks asks for chunks by digest; fewer may come.
	Chunks(ctx context.Context, digests []string) ([]json.RawMessage, error)
}

// Update answers a peer that has the given generation.
func (r *Registry) Update(have uint64) Update {
	to := r.current.Load().outline
	var from outline
	r.mu.Lock()
	for _, o := range r.recent {
		if o.Generation == have {
			from = o
		}
	}
	r.mu.Unlock()
	u := Update{Generation: to.Generation, Change: to.Change, Base: from.Generation}
	olds, news := from.Lists.all(), to.Lists.all()
	for i := range olds {
		u.Splices[i] = difference(*olds[i], *news[i])
	}
	return u
}

func difference(a, b []digest) Splice {
	n := min(len(a), len(b))
	var s Splice
	for s.Head < n && a[s.Head] == b[s.Head] {
		s.Head++
	}
	for s.Tail < n-s.Head && a[len(a)-1-s.Tail] == b[len(b)-1-s.Tail] {
		s.Tail++
	}
	s.Middle = b[s.Head : len(b)-s.Tail]
	return s
}

// Chunks answers a peer that lacks chunks, up to a bound of bytes.
func (r *Registry) Chunks(digests []string) []json.RawMessage {
	raw := r.current.Load().raw
	var out []json.RawMessage
	size := 0
	for _, d := range digests {
		b, ok := raw[digest(d)]
		if !ok {
			continue
		}
		if size += len(b); size > replyBytes && len(out) > 0 {
			break
		}
		out = append(out, b)
	}
	return out
}

// Pull puts a peer's generation in force if it is newer.
func (r *Registry) Pull(ctx context.Context, src Source) error {
	have := r.current.Load()
	u, err := src.Update(ctx, have.outline.Generation)
	if err != nil {
		return errors.Wrap(err, "ask a peer for its configuration")
	}
	if u.Generation <= have.outline.Generation {
		return nil
	}
	o, err := u.outline(have.outline)
	if err != nil {
		return err
	}
	s, err := r.assemble(ctx, o, func(ctx context.Context, ds []digest) (map[digest][]byte, error) {
		return fromPeer(ctx, src, ds)
	})
	if err != nil {
		return err
	}
	r.install(s)
	return nil
}

// outline applies the difference.
func (u *Update) outline(have outline) (outline, error) {
	o := outline{Generation: u.Generation, Change: u.Change}
	if u.Base != 0 && u.Base != have.Generation {
		return o, errors.Newf("peer answered with a difference to generation %d, not %d", u.Base, have.Generation)
	}
	var empty lists
	olds, news := empty.all(), o.Lists.all()
	if u.Base != 0 {
		olds = have.Lists.all()
	}
	for i, s := range u.Splices {
		old := *olds[i]
		if s.Head < 0 || s.Tail < 0 || s.Head+s.Tail > len(old) {
			return o, errors.Newf("peer's difference keeps %d+%d of %d chunks", s.Head, s.Tail, len(old))
		}
		l := append([]digest(nil), old[:s.Head]...)
		l = append(l, s.Middle...)
		*news[i] = append(l, old[len(old)-s.Tail:]...)
	}
	return o, nil
}

// askChunks bounds the digests in one question.
const askChunks = 256

// fromPeer gets chunks until all are there or the peer gives no more.
func fromPeer(ctx context.Context, src Source, ds []digest) (map[digest][]byte, error) {
	got := make(map[digest][]byte, len(ds))
	for len(ds) > 0 {
		ask := make([]string, 0, askChunks)
		for _, d := range ds[:min(askChunks, len(ds))] {
			ask = append(ask, string(d))
		}
		raws, err := src.Chunks(ctx, ask)
		if err != nil {
			return nil, errors.Wrap(err, "ask a peer for chunks")
		}
		before := len(got)
		for _, b := range raws {
			got[digestOf(b)] = b
		}
		if len(got) == before {
			return nil, errors.Wrapf(ErrIncomplete, "peer gave none of %d chunks", len(ds))
		}
		rest := ds[:0:0]
		for _, d := range ds {
			if _, ok := got[d]; !ok {
				rest = append(rest, d)
			}
		}
		ds = rest
	}
	return got, nil
}
