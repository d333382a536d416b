package peer

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

const (
	// minPackedUpdates is the number of updates from which on compression saves more than it
	// costs.
	minPackedUpdates = 4
	// maxUnpackedSize bounds the updates in one message, in bytes.
	maxUnpackedSize = 4 << 20
	// packWindow is the window within which repetitions are found, in bytes. Records of members
	// resemble each other.
	packWindow = 64 << 10
)

// codec compresses updates. It is created once, as that takes longer than its use.
var codec = newUpdateCodec()

type updateCodec struct {
	w   *zstd.Encoder
	r   *zstd.Decoder
	err error
}

func newUpdateCodec() updateCodec {
	w, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(packWindow))
	if err != nil {
		return updateCodec{err: err}
	}
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxUnpackedSize))
	w.EncodeAll(nil, nil) // allocates its state
	return updateCodec{w, r, err}
}

// PackUpdates compresses updates. While a fleet starts, nearly all that its daemons exchange is
// updates, and each message is decoded several times on its way through the layers.
func PackUpdates(updates []MemberUpdate) ([]byte, error) {
	b, err := json.Marshal(updates)
	if err != nil {
		return nil, errors.Wrap(err, "encode updates")
	}
	if codec.err != nil {
		return nil, errors.Wrap(codec.err, "compress updates")
	}
	return codec.w.EncodeAll(b, nil), nil
}

// UnpackUpdates returns the updates that PackUpdates was called with.
func UnpackUpdates(packed []byte) ([]MemberUpdate, error) {
	if codec.err != nil {
		return nil, errors.Wrap(codec.err, "decompress updates")
	}
	b, err := codec.r.DecodeAll(packed, nil)
	if err != nil {
		return nil, errors.Wrap(err, "decompress updates")
	}
	var updates []MemberUpdate
	return updates, errors.Wrap(json.Unmarshal(b, &updates), "decode updates")
}

// pack compresses the updates of a heartbeat if they are many.
func (hb *Heartbeat) pack() error {
	if len(hb.MemberUpdates) < minPackedUpdates {
		return nil
	}
	b, err := PackUpdates(hb.MemberUpdates)
	if err != nil {
		return err
	}
	hb.MemberUpdates, hb.PackedUpdates = nil, b
	return nil
}

// unpack restores the updates of a heartbeat.
func (hb *Heartbeat) unpack() error {
	if hb.PackedUpdates == nil {
		return nil
	}
	updates, err := UnpackUpdates(hb.PackedUpdates)
	hb.MemberUpdates, hb.PackedUpdates = append(hb.MemberUpdates, updates...), nil
	return err
}
