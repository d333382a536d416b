package member

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/peer"
)

// entry is the state of another daemon as known to this one.
type entry struct {
	member fireflypath.Member
	state  peer.State
	// stateSince is when this daemon learned the state.
	stateSince time.Time
	// lastAlive is when the daemon was last known to be alive, from a message or a helper.
	lastAlive time.Time
	// adoptedAt is when the daemon was added from its record in the store; zero once it is
	// confirmed.
	adoptedAt time.Time
	// dialing and probing are true while a dial or a probe is in progress.
	dialing, probing bool
	// nextDial is the earliest time of the next dial, dialFailures the number of
	// consecutive failures.
	nextDial     time.Time
	dialFailures int
}

// live reports whether the daemon counts as a member. A suspected one does.
func (e *entry) live() bool {
	return e.state == peer.Alive || e.state == peer.Suspect
}

// precedence orders the states of one incarnation. Of two updates, the one with the higher
// precedence applies. It is -1 for an unknown state.
func precedence(s peer.State) int {
	return slices.Index([]peer.State{peer.Alive, peer.Suspect, peer.Dead, peer.Left}, s)
}

// supersedes reports whether an update replaces the state of the entry.
func (e *entry) supersedes(u peer.MemberUpdate) bool {
	if u.Member.Incarnation != e.member.Incarnation {
		return u.Member.Incarnation > e.member.Incarnation
	}
	return precedence(u.State) > precedence(e.state)
}

// digests holds a hash of the live members of each bucket. Equal views have equal digests.
// Members are divided into buckets so that two daemons whose views differ exchange only the
// differing buckets.
type digests []uint64

const (
	// minDigestBuckets is the number of buckets in a small fleet.
	minDigestBuckets = 16
	// maxDigestBuckets bounds the work for a peer's digests.
	maxDigestBuckets = 4096
	// membersPerBucket is the mean number of members in a bucket of a large fleet. With a fixed
	// number of buckets, the members sent for one difference would grow with the fleet.
	membersPerBucket = 16
)

// bucketCount returns the number of buckets for a number of members.
func bucketCount(members int) int {
	n := minDigestBuckets
	for n < maxDigestBuckets && members > n*membersPerBucket {
		n *= 2
	}
	return n
}

// newDigests returns the digests of members in the given number of buckets.
func newDigests(members []fireflypath.Member, buckets int) digests {
	d := make(digests, buckets)
	var b [8]byte
	for _, m := range members {
		binary.LittleEndian.PutUint64(b[:], m.Incarnation)
		h := xxhash.New()
		_, _ = h.WriteString(m.Name + "/")
		_, _ = h.Write(b[:])
		d[d.bucketOf(m.Name)] ^= h.Sum64()
	}
	return d
}

// bucketOf returns the bucket of a member.
func (d digests) bucketOf(name string) int {
	return int(xxhash.Sum64String(name) % uint64(len(d)))
}

// hash combines the digests into the view hash of heartbeats. It has only 32 bits because it
// is sent about twelve times a second. If two different views have the same hash, the
// difference shows after the next change.
func (d digests) hash() uint32 {
	var v uint64
	for i, b := range d {
		v ^= b + uint64(i)*b
	}
	return uint32(v ^ v>>32)
}

// view is an immutable snapshot of the membership.
type view struct {
	live    []fireflypath.Member
	digests digests
	hash    uint32
	// missing is the number of daemons that died within missingPeriod.
	missing int
}

// newView returns a view of the given members, which it sorts by name.
func newView(members []fireflypath.Member, missing int) *view {
	slices.SortFunc(members, func(a, b fireflypath.Member) int { return strings.Compare(a.Name, b.Name) })
	v := &view{live: members, missing: missing, digests: newDigests(members, bucketCount(len(members)))}
	v.hash = v.digests.hash()
	return v
}
