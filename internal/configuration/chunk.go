package configuration

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
)

const (
	// chunkItems is the mean number of items in a chunk. One changed team then
	// moves about 8 KB (32 teams of 250 bytes), while 29,000 teams need 900
	// digests of 46 bytes in the manifest, far below a megabyte.
	chunkItems = 32
	// chunkBytes ends a chunk of unusually large items well below MaxValue.
	chunkBytes = fireflypath.MaxValue / 4
)

// digest names a chunk by the SHA-256 of its bytes, in unpadded base64.
type digest string

func digestOf(b []byte) digest {
	sum := sha256.Sum256(b)
	return digest(base64.RawURLEncoding.EncodeToString(sum[:]))
}

// chunk is an immutable value of the store.
type chunk struct {
	digest digest
	raw    []byte
}

// split cuts a list into chunks. Where it cuts depends on the items' names
// alone, so that an item added in the middle changes one chunk and not all
// that follow.
func split[T any](items []T, name func(*T) string) ([]chunk, error) {
	var out []chunk
	start, size := 0, 0
	for i := range items {
		b, err := json.Marshal(&items[i])
		if err != nil {
			return nil, errors.Wrapf(err, "encode %q", name(&items[i]))
		}
		size += len(b)
		last := i == len(items)-1
		if !last && size < chunkBytes && xxhash.Sum64String(name(&items[i]))%chunkItems != 0 {
			continue
		}
		c, err := seal(items[start : i+1])
		if err != nil {
			return nil, err
		}
		out = append(out, c)
		start, size = i+1, 0
	}
	return out, nil
}

// seal encodes one chunk.
func seal[T any](items []T) (chunk, error) {
	b, err := json.Marshal(items)
	if err != nil {
		return chunk{}, errors.Wrap(err, "encode a chunk")
	}
	if len(b) > fireflypath.MaxValue {
		return chunk{}, errors.Newf("chunk of %d bytes is above the service's %d", len(b), fireflypath.MaxValue)
	}
	return chunk{digest: digestOf(b), raw: b}, nil
}
