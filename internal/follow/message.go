package follow

import "github.com/fireflypath/fireflypath"

const (
	methodFollow = "follow"
	methodPart   = "follow.part"
)

const (
	// maxInlineSize is the size in bytes of the largest value that a response contains.
	// Registrations of targets have a few hundred bytes. Only the configuration is larger.
	maxInlineSize = 8 << 10
	// maxPageSize limits the keys and values in one response, in bytes. Encoded, a page
	// takes at most 45 KB, which is 36 ms on 10 Mbit/s. The registrations of 2,700 targets
	// would take a second there if they were sent at once.
	maxPageSize = 32 << 10
	// maxPages limits the pages of one listing.
	maxPages = 256
	// partSize is the number of bytes of a patch in one response. Encoded, a part takes
	// 18 ms on 10 Mbit/s, so that heartbeats and placements on the same connection are not
	// delayed.
	partSize = 16 << 10
)

// followRequest asks a watcher for changes.
type followRequest struct {
	// After is the revision of the requester's view. 0 asks for all entries.
	After uint64 `json:"a"`
	// WaitMillis is how long the watcher may hold the call, in milliseconds.
	WaitMillis int64 `json:"w"`
	// FetchesLarge is true if the requester downloads large values separately. An older
	// requester that does not would take a listing without them as complete.
	FetchesLarge bool `json:"p,omitempty"`
	// KnownAgeMillis is the age of the requester's view in milliseconds. If it is set, the call
	// returns as soon as the view of the responder was confirmed well after that.
	KnownAgeMillis int64 `json:"k,omitempty"`
	// AcceptsPacked is true if the requester reads Packed.
	AcceptsPacked bool `json:"z,omitempty"`
	// WantsMembers asks for the live daemons that the responder knows.
	WantsMembers bool `json:"n,omitempty"`
	// WantsRemoved asks for the removed keys as well if After is 0.
	WantsRemoved bool `json:"d,omitempty"`
	// PageAfter asks for the next page: the revision of the last entry received.
	PageAfter uint64 `json:"b,omitempty"`
}

// followResponse is a watcher's response to a followRequest.
type followResponse struct {
	Entries []fireflypath.Entry `json:"e,omitempty"`
	// Packed holds Entries compressed instead, if they are many.
	Packed   []byte `json:"z,omitempty"`
	Revision uint64 `json:"r"`
	// LargeValues names the entries whose values are downloaded separately.
	LargeValues []largeValue `json:"l,omitempty"`
	// HasMore is true if there is another page.
	HasMore bool `json:"m,omitempty"`
	// Members holds the live daemons, compressed, if the requester asked for them.
	Members []byte `json:"n,omitempty"`
	// Receiving is true if the view is old because the watcher is still receiving a large
	// response from the store.
	Receiving bool `json:"t,omitempty"`
	// AgeMillis is the age of the view. LapseMillis is how long removals may be due to
	// registrations that lapsed while the store was unavailable. Both are in milliseconds.
	AgeMillis int64 `json:"a"`
	// HeldMillis is how long the call was held, in milliseconds. The view was current that much
	// later, less its age, than the call was made.
	HeldMillis  int64 `json:"d,omitempty"`
	LapseMillis int64 `json:"h,omitempty"`
	// Compacted is true if the changes since After are no longer known.
	Compacted bool `json:"c,omitempty"`
}

// addPage adds the entries above a revision, in order of revision, up to a size in bytes. Entries
// written together share a revision and stay on one page.
func (r *followResponse) addPage(entries []fireflypath.Entry, above uint64, maxSize int) {
	bytes := 0
	last := above
	for _, e := range entries {
		if e.Revision <= above {
			continue
		}
		if bytes > maxSize && e.Revision > last {
			r.HasMore = true
			return
		}
		last = e.Revision
		if len(e.Value) > maxInlineSize {
			r.LargeValues = append(r.LargeValues, largeValue{Key: e.Key, Revision: e.Revision})
			bytes += len(e.Key)
			continue
		}
		r.Entries = append(r.Entries, e)
		bytes += len(e.Key) + len(e.Value)
	}
}

// lastRevision returns the highest revision on the page.
func (r *followResponse) lastRevision() uint64 {
	var last uint64
	for _, e := range r.Entries {
		last = max(last, e.Revision)
	}
	for _, l := range r.LargeValues {
		last = max(last, l.Revision)
	}
	return last
}

// largeValue identifies a value that is downloaded in parts.
type largeValue struct {
	Key      string `json:"k"`
	Revision uint64 `json:"r"`
}

// partRequest asks for a part of the patch of a large value.
type partRequest struct {
	largeValue
	// Base is the revision that the requester has under the key, or 0 if it has none.
	Base uint64 `json:"b,omitempty"`
	// Offset is the position of the part in the patch, in bytes.
	Offset int `json:"o"`
}

// partResponse is a part of a patch.
type partResponse struct {
	// Base is the revision that the patch is based on, or 0 if it needs no base.
	Base uint64 `json:"b,omitempty"`
	// PatchSize is the size of the whole patch in bytes and PatchHash its hash. Parts with
	// the same hash belong to the same patch, whichever watcher sent them.
	PatchSize int    `json:"s"`
	PatchHash uint64 `json:"h"`
	Data      []byte `json:"d"`
}
