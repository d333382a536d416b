package follow

import (
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath/internal/patch"
)

const (
	// maxPackedPageSize limits the keys and values in one compressed response, in bytes.
	// Registrations shrink to a sixth, so that a page takes about as much as one of maxPageSize.
	maxPackedPageSize = 128 << 10
	// minPackedSize is the size in bytes of encoded entries from which on compression saves more
	// than it costs.
	minPackedSize = 16 << 10
	// maxUnpackedSize bounds the entries that a page may hold, in bytes.
	maxUnpackedSize = 1 << 20
)

// pageCache holds the compressed pages of the whole view at one revision. The followers of a relay
// that start together all request the same ones.
type pageCache struct {
	mu       sync.Mutex
	revision uint64
	pages    map[pageID][]byte
}

// pageID identifies a page by the revision after which it begins, and by whether it has removed keys.
type pageID struct {
	after   uint64
	removed bool
}

// pack compresses the entries of a response if they are many.
func (c *pageCache) pack(r *followResponse, req followRequest) error {
	id := pageID{req.PageAfter, req.WantsRemoved}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revision != r.Revision {
		c.revision = r.Revision
		clear(c.pages)
	}
	if packed, ok := c.pages[id]; ok && req.After == 0 {
		r.Entries, r.Packed = nil, packed
		return nil
	}
	b, err := json.Marshal(r.Entries)
	if err != nil {
		return errors.Wrap(err, "encode a page")
	}
	if len(b) < minPackedSize {
		return nil
	}
	packed, err := patch.Make(nil, b)
	if err != nil {
		return err
	}
	if req.After == 0 {
		c.pages[id] = packed
	}
	r.Entries, r.Packed = nil, packed
	return nil
}

// unpack restores the entries of a compressed response.
func (r *followResponse) unpack() error {
	if r.Packed == nil {
		return nil
	}
	b, err := patch.Apply(nil, r.Packed, maxUnpackedSize)
	if err != nil {
		return err
	}
	r.Packed = nil
	return errors.Wrap(json.Unmarshal(b, &r.Entries), "decode a page")
}
