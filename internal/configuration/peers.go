package configuration

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// maxResponseBytes bounds the chunks in a response to a peer. It is far below the largest
// message between daemons.
const maxResponseBytes = 256 << 10

// Update is the index of a generation, as a difference to one that the peer has. With 29,000
// teams a complete index would be 40 KB for each change.
type Update struct {
	Generation uint64 `json:"generation"`
	Change     string `json:"change,omitempty"`
	// Base is the generation that the splices apply to; 0 is the empty one.
	Base uint64 `json:"base,omitempty"`
	// Splices has one splice for each list, in the order of chunkLists.all.
	Splices [6]Splice `json:"splices"`
}

// Splice keeps the first Head and the last Tail digests of a list and replaces those in
// between by Middle.
type Splice struct {
	Head   int      `json:"head,omitempty"`
	Tail   int      `json:"tail,omitempty"`
	Middle []digest `json:"middle,omitempty"`
}

// Source is a peer to pull a newer generation from.
type Source interface {
	// Update requests the index of the peer's generation, as a difference to generation
	// have if the peer still knows that.
	Update(ctx context.Context, have uint64) (Update, error)
	// Chunks requests chunks by digest. It may return fewer than requested.
	Chunks(ctx context.Context, digests []string) ([]json.RawMessage, error)
}

// Update returns the generation in force as a difference to generation have if that is among
// the recent ones, and otherwise to the empty generation.
func (r *Registry) Update(have uint64) Update {
	to := r.current.Load().index
	var from generationIndex
	r.mu.Lock()
	for _, index := range r.recentIndexes {
		if index.Generation == have {
			from = index
		}
	}
	r.mu.Unlock()
	u := Update{Generation: to.Generation, Change: to.Change, Base: from.Generation}
	oldLists, newLists := from.Lists.all(), to.Lists.all()
	for i := range oldLists {
		u.Splices[i] = diff(*oldLists[i], *newLists[i])
	}
	return u
}

// diff returns the splice that turns a into b.
func diff(a, b []digest) Splice {
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

// Chunks returns the chunks with the given digests that are part of the generation in force,
// up to maxResponseBytes but at least one.
func (r *Registry) Chunks(digests []string) []json.RawMessage {
	chunks := r.current.Load().chunks
	var out []json.RawMessage
	size := 0
	for _, d := range digests {
		b, ok := chunks[digest(d)]
		if !ok {
			continue
		}
		if size += len(b); size > maxResponseBytes && len(out) > 0 {
			break
		}
		out = append(out, b)
	}
	return out
}

// Pull fetches the generation of a peer and activates it if it is newer.
func (r *Registry) Pull(ctx context.Context, src Source) error {
	have := r.current.Load()
	u, err := src.Update(ctx, have.index.Generation)
	if err != nil {
		return errors.Wrap(err, "request configuration from peer")
	}
	if u.Generation <= have.index.Generation {
		return nil
	}
	index, err := u.applyTo(have.index)
	if err != nil {
		return err
	}
	s, err := r.assemble(ctx, index, func(ctx context.Context, ds []digest) (map[digest][]byte, error) {
		return fetchFromPeer(ctx, src, ds)
	})
	if err != nil {
		return err
	}
	r.activate(s)
	return nil
}

// applyTo returns the index that results from the update on generation have.
func (u *Update) applyTo(have generationIndex) (generationIndex, error) {
	index := generationIndex{Generation: u.Generation, Change: u.Change}
	if u.Base != 0 && u.Base != have.Generation {
		return index, errors.Newf("peer sent a difference to generation %d, not %d", u.Base, have.Generation)
	}
	var empty chunkLists
	oldLists, newLists := empty.all(), index.Lists.all()
	if u.Base != 0 {
		oldLists = have.Lists.all()
	}
	for i, s := range u.Splices {
		old := *oldLists[i]
		if s.Head < 0 || s.Tail < 0 || s.Head+s.Tail > len(old) {
			return index, errors.Newf("peer sent a difference that keeps %d+%d chunks of a list of %d", s.Head, s.Tail, len(old))
		}
		l := append([]digest(nil), old[:s.Head]...)
		l = append(l, s.Middle...)
		*newLists[i] = append(l, old[len(old)-s.Tail:]...)
	}
	return index, nil
}

// maxChunksPerRequest bounds the digests in one request to a peer.
const maxChunksPerRequest = 256

// fetchFromPeer requests chunks until all are fetched or the peer returns no more of them.
func fetchFromPeer(ctx context.Context, src Source, ds []digest) (map[digest][]byte, error) {
	fetched := make(map[digest][]byte, len(ds))
	for len(ds) > 0 {
		request := make([]string, 0, maxChunksPerRequest)
		for _, d := range ds[:min(maxChunksPerRequest, len(ds))] {
			request = append(request, string(d))
		}
		received, err := src.Chunks(ctx, request)
		if err != nil {
			return nil, errors.Wrap(err, "request chunks from peer")
		}
		before := len(fetched)
		for _, b := range received {
			fetched[computeDigest(b)] = b
		}
		if len(fetched) == before {
			return nil, errors.Wrapf(ErrIncomplete, "peer returned none of %d chunks", len(ds))
		}
		missing := ds[:0:0]
		for _, d := range ds {
			if _, ok := fetched[d]; !ok {
				missing = append(missing, d)
			}
		}
		ds = missing
	}
	return fetched, nil
}
