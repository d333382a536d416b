package directory

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/logs"
)

// RefusedPrefix is the prefix of the keys that list the versions of a pool that were taken
// back; the pool's name follows.
const RefusedPrefix = "versions/"

// RolloutPrefix is the prefix of the keys that hold the trials of new versions; the pool's name follows.
const RolloutPrefix = "rollouts/"

// EnableTrials makes versions whose orders were replaced wait for another order. It must be called before
// Run.
func (d *Directory) EnableTrials() { d.rollouts.EnableTrials() }

// RefusedVersions is the stored list of the versions of a pool that were rolled back.
type RefusedVersions struct {
	Refused []string `json:"refused"`
}

// isRolloutKey reports whether a key belongs to a roll-out.
func (d *Directory) isRolloutKey(key string) bool {
	return d.rolloutCodec != nil && slices.ContainsFunc(d.rolloutPrefixes(), func(p string) bool { return strings.HasPrefix(key, p) })
}

func (d *Directory) rolloutPrefixes() []string {
	orders, status := d.rolloutCodec.RolloutPrefixes()
	return []string{orders, status, RefusedPrefix, RolloutPrefix}
}

// applyRollout applies an entry whose key belongs to a roll-out. A value that cannot be decoded
// leaves what was known.
func (d *Directory) applyRollout(e fireflypath.Entry) {
	d.rolloutKeys[e.Key] = true
	d.rolloutsChanged = true
	var err error
	orders, status := d.rolloutCodec.RolloutPrefixes()
	switch {
	case strings.HasPrefix(e.Key, orders):
		err = d.applyOrder(strings.TrimPrefix(e.Key, orders), e)
	case strings.HasPrefix(e.Key, status):
		err = d.applyStatus(strings.TrimPrefix(e.Key, status), e)
	case strings.HasPrefix(e.Key, RolloutPrefix):
		err = d.applyRecord(strings.TrimPrefix(e.Key, RolloutPrefix), e)
	default:
		err = d.applyRefused(strings.TrimPrefix(e.Key, RefusedPrefix), e)
	}
	if err != nil {
		d.log.Error("entry of a roll-out is not used", zap.String("key", e.Key), zap.Uint64("revision", e.Revision), logs.Err(err))
	}
}

func (d *Directory) applyOrder(pool string, e fireflypath.Entry) error {
	if e.Deleted {
		d.rollouts.RemoveOrder(pool)
		return nil
	}
	o, err := d.rolloutCodec.RolloutOrder(e.Value)
	if err != nil {
		return err
	}
	if restoredAt, ok := d.ordersToRewrite[e.Key]; ok && d.rollouts.HasOrder(pool, o) {
		// The operator writes again what a restored store lacked. With the new revision, the
		// result of the order would count as that of an earlier one, and be decided again.
		if e.Revision > restoredAt {
			delete(d.ordersToRewrite, e.Key)
		}
		return nil
	}
	delete(d.ordersToRewrite, e.Key)
	d.rollouts.SetOrder(pool, o, e.Revision)
	d.log.Info("roll-out ordered", zap.String("pool", pool), zap.String("version", o.Version), zap.Duration("within", o.Duration))
	return nil
}

func (d *Directory) applyStatus(pool string, e fireflypath.Entry) error {
	if e.Deleted {
		d.rollouts.RemoveStatus(pool)
		return nil
	}
	s, err := d.rolloutCodec.RolloutStatus(pool, e.Value)
	if err != nil {
		return err
	}
	d.rollouts.SetStatus(s, e.Revision)
	d.log.Info("roll-out has a status", zap.String("pool", pool), zap.String("version", s.Version), zap.String("state", string(s.State)))
	return nil
}

func (d *Directory) applyRefused(pool string, e fireflypath.Entry) error {
	if e.Deleted {
		return nil // a version that was rolled back stays so
	}
	var stored RefusedVersions
	if err := json.Unmarshal(e.Value, &stored); err != nil {
		return errors.Wrap(err, "decode refused versions")
	}
	d.rollouts.SetRefused(pool, stored.Refused, e.Revision)
	return nil
}

func (d *Directory) applyRecord(pool string, e fireflypath.Entry) error {
	if e.Deleted {
		return nil // what was decided stays so
	}
	var r fireflypath.RolloutRecord
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return errors.Wrap(err, "decode trial of a version")
	}
	d.rollouts.SetRecord(pool, r, e.Revision)
	return nil
}

// removeRollouts applies the removal of the keys of roll-outs that a read of all keys did not
// return.
func (d *Directory) removeRollouts(seen map[string]bool) {
	for key := range d.rolloutKeys {
		if !seen[key] {
			d.applyRollout(fireflypath.Entry{Key: key, Deleted: true})
			delete(d.rolloutKeys, key)
		}
	}
}
