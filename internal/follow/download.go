package follow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/patch"
)

const (
	// partTimeout is the timeout of a call for one part: 0.3 s if the watcher's link of
	// 10 Mbit/s serves 16 daemons at once, plus the time to recover two lost packets.
	partTimeout = time.Second
	// maxFetchTime limits how long one call of Follow downloads parts. Changes of targets
	// are delivered between the calls, so that a target that leaves gets no work while a
	// large configuration is being downloaded.
	maxFetchTime = 400 * time.Millisecond
	// maxDownloadTime is how long the download of a large value may take before the store
	// is asked for the value, once, as the watcher's link may be the slow one. It leaves
	// half of the default propagation limit of two seconds for that.
	maxDownloadTime = time.Second
	// maxPatchSize is the size in bytes of the patch of an incompressible value.
	maxPatchSize = fireflypath.MaxValue + 64<<10
)

var (
	// errIncomplete means that the download of a value has not finished yet.
	errIncomplete = errors.New("value is incomplete")
	// errDownloadTimeout means that the download of a value takes too long.
	errDownloadTimeout = errors.New("value takes too long on its way")
)

// download is a large value that is received in parts. A part that fails is requested
// again, if need be from another watcher, and the parts received before are kept. If the
// value were sent in one response, the timeout of a response would limit its size, and over
// a slow link each attempt would start over and time out.
type download struct {
	largeValue
	// base is the version of the value that this daemon has. Its revision is 0 if there is
	// none.
	base fireflypath.Entry
	// patchBase is the revision that the patch is based on: that of base, or 0.
	patchBase uint64
	patchSize int
	patchHash uint64
	data      []byte
	startedAt time.Time
	// timedOut is true once the store was asked for the value instead.
	timedOut bool
}

// fetchLargeValue downloads a large value until the given time.
func (f *Feed) fetchLargeValue(ctx context.Context, w fireflypath.Member, l largeValue, end time.Time) (fireflypath.Entry, error) {
	d := f.resumeOrStart(l)
	for !d.isComplete() {
		now := f.clock.Now()
		if !d.timedOut && now.Sub(d.startedAt) >= maxDownloadTime {
			d.timedOut = true
			return fireflypath.Entry{}, errors.Wrapf(errDownloadTimeout, "%d of %d bytes", len(d.data), d.patchSize)
		}
		if !now.Before(end) {
			return fireflypath.Entry{}, errIncomplete
		}
		p, err := f.requestPart(ctx, w, d)
		if err != nil {
			return fireflypath.Entry{}, err
		}
		d.addPart(p)
	}
	return f.applyDownload(d)
}

// resumeOrStart returns the download of a value and starts it if there is none.
func (f *Feed) resumeOrStart(l largeValue) *download {
	if f.download == nil || f.download.largeValue != l {
		f.download = &download{largeValue: l, base: f.versions.latest(l.Key), startedAt: f.clock.Now()}
	}
	return f.download
}

// requestPart requests the next part of the patch from a watcher.
func (f *Feed) requestPart(ctx context.Context, w fireflypath.Member, d *download) (partResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	var p partResponse
	req := partRequest{largeValue: d.largeValue, Base: d.base.Revision, Offset: len(d.data)}
	if err := f.peers.Call(ctx, w, methodPart, req, &p); err != nil {
		return partResponse{}, errors.Wrapf(err, "request part of %s from %s", d.Key, w.Name)
	}
	if len(p.Data) == 0 || p.PatchSize <= 0 || p.PatchSize > maxPatchSize {
		return partResponse{}, errors.Newf("%s sent %d bytes of a patch of %d", w.Name, len(p.Data), p.PatchSize)
	}
	return p, nil
}

// addPart appends a part. If the part is of a different patch, as from a watcher that does
// not have the base, the download starts over.
func (d *download) addPart(p partResponse) {
	if p.PatchHash != d.patchHash || p.PatchSize != d.patchSize {
		first := len(d.data) == 0
		d.patchBase, d.patchSize, d.patchHash, d.data = p.Base, p.PatchSize, p.PatchHash, nil
		if !first {
			return
		}
	}
	d.data = append(d.data, p.Data...)
}

func (d *download) isComplete() bool {
	return d.patchSize > 0 && len(d.data) >= d.patchSize
}

// applyDownload makes the value from the downloaded patch.
func (f *Feed) applyDownload(d *download) (fireflypath.Entry, error) {
	f.download = nil
	var base []byte
	if d.patchBase != 0 {
		base = d.base.Value
	}
	value, err := patch.Apply(base, d.data, fireflypath.MaxValue)
	if err != nil {
		return fireflypath.Entry{}, errors.Wrapf(err, "%s of revision %d", d.Key, d.Revision)
	}
	f.fetchedBytes.Inc(int64(d.patchSize))
	return fireflypath.Entry{Key: d.Key, Value: value, Revision: d.Revision}, nil
}
