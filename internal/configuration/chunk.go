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
	// meanChunkItems is the mean number of items in a chunk. With 32, a change of one team
	// transfers about 8 KB (32 teams of 250 bytes), and 29,000 teams take 900 digests of
	// 46 bytes in the manifest, far below a megabyte.
	meanChunkItems = 32
	// chunkSoftLimit is the size in bytes at which a chunk ends regardless of its number
	// of items. It keeps chunks of unusually large items well below MaxValue.
	chunkSoftLimit = fireflypath.MaxValue / 4
)

// digest identifies a chunk by the SHA-256 of its bytes, in unpadded base64.
type digest string

func computeDigest(b []byte) digest {
	sum := sha256.Sum256(b)
	return digest(base64.RawURLEncoding.EncodeToString(sum[:]))
}

// chunk is an encoded part of a list. It is stored under its digest and is immutable.
type chunk struct {
	digest digest
	raw    []byte
}

// splitIntoChunks encodes a list as chunks. The boundaries depend on the hash of the items'
// names, not on their positions, so that an item inserted in the middle changes one chunk
// and not all that follow.
func splitIntoChunks[T any](items []T, name func(*T) string) ([]chunk, error) {
	var out []chunk
	start, size := 0, 0
	for i := range items {
		b, err := json.Marshal(&items[i])
		if err != nil {
			return nil, errors.Wrapf(err, "encode %q", name(&items[i]))
		}
		size += len(b)
		last := i == len(items)-1
		if !last && size < chunkSoftLimit && xxhash.Sum64String(name(&items[i]))%meanChunkItems != 0 {
			continue
		}
		c, err := encodeChunk(items[start : i+1])
		if err != nil {
			return nil, err
		}
		out = append(out, c)
		start, size = i+1, 0
	}
	return out, nil
}

// encodeChunk encodes items as one chunk.
func encodeChunk[T any](items []T) (chunk, error) {
	b, err := json.Marshal(items)
	if err != nil {
		return chunk{}, errors.Wrap(err, "encode a chunk")
	}
	if len(b) > fireflypath.MaxValue {
		return chunk{}, errors.Newf("chunk of %d bytes is above the service's %d", len(b), fireflypath.MaxValue)
	}
	return chunk{digest: computeDigest(b), raw: b}, nil
}
