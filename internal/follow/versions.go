package follow

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/patch"
)

// errVersionEvicted means that newer versions have replaced a large value.
var errVersionEvicted = errors.New("value is no longer kept")

// maxVersions is the number of versions of a large value that are kept: the newest one, and
// two that followers may still have when changes come in quick succession. A follower with
// an older version gets a patch without a base.
const maxVersions = 3

// versionCache keeps the latest versions of large values, to make patches for followers and
// to apply patches from a watcher.
type versionCache struct {
	mu sync.Mutex
	// versions holds the versions of each key, the newest one last.
	versions map[string][]fireflypath.Entry
	// patches holds the patches that followers requested, usually one for all of them.
	patches []cachedPatch
}

// cachedPatch is a patch from one version of a key to another.
type cachedPatch struct {
	key            string
	base, revision uint64
	data           []byte
	hash           uint64
}

// addLarge adds the large values among the entries that are newer than the cached ones.
func (v *versionCache) addLarge(entries []fireflypath.Entry) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range entries {
		if len(e.Value) > maxInlineSize {
			v.add(e)
		}
	}
}

// add adds one version. The caller holds mu.
func (v *versionCache) add(e fireflypath.Entry) {
	vs := v.versions[e.Key]
	if len(vs) > 0 && vs[len(vs)-1].Revision >= e.Revision {
		return
	}
	vs = append(vs, e)
	if len(vs) > maxVersions {
		vs = slices.Clone(vs[len(vs)-maxVersions:])
	}
	v.versions[e.Key] = vs
	v.patches = slices.DeleteFunc(v.patches, func(p cachedPatch) bool { return p.key == e.Key })
}

// latest returns the newest version of a key, or an entry of revision 0.
func (v *versionCache) latest(key string) fireflypath.Entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	vs := v.versions[key]
	if len(vs) == 0 {
		return fireflypath.Entry{Key: key}
	}
	return vs[len(vs)-1]
}

// patch returns the patch from the base to a version, or a patch without a base if the base
// is not cached. It is computed once for all followers.
func (v *versionCache) patch(l largeValue, base uint64) (cachedPatch, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	from, ok := v.find(l.Key, base)
	if !ok {
		base = 0
	}
	for _, p := range v.patches {
		if p.key == l.Key && p.base == base && p.revision == l.Revision {
			return p, nil
		}
	}
	to, ok := v.find(l.Key, l.Revision)
	if !ok {
		return cachedPatch{}, errors.Wrapf(errVersionEvicted, "%s of revision %d", l.Key, l.Revision)
	}
	data, err := patch.Make(from.Value, to.Value)
	if err != nil {
		return cachedPatch{}, errors.Wrapf(err, "%s of revision %d", l.Key, l.Revision)
	}
	p := cachedPatch{key: l.Key, base: base, revision: l.Revision, data: data, hash: xxhash.Sum64(data)}
	v.patches = append(v.patches, p)
	return p, nil
}

// find returns a cached version. The caller holds mu.
func (v *versionCache) find(key string, revision uint64) (fireflypath.Entry, bool) {
	vs := v.versions[key]
	i := slices.IndexFunc(vs, func(e fireflypath.Entry) bool { return e.Revision == revision })
	if i < 0 {
		return fireflypath.Entry{}, false
	}
	return vs[i], true
}
