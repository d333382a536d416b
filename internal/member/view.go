package member

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/peer"
)

// entry is what this daemon knows of another one.
type entry struct {
	member fireflypath.Member
	state  peer.State
	// since is when the state was learned here.
	since time.Time
	// proof is when the daemon was last known to be alive, first-hand or by a helper.
	proof time.Time
	// dialing and probing are true while one is under way.
	dialing, probing bool
	// next is the earliest time of another dial, fails the number in a row.
	next  time.Time
	fails int
}

// live reports a daemon that counts as a member; a suspect still does.
func (e *entry) live() bool {
	return e.state == peer.Alive || e.state == peer.Suspect
}

// rank orders the states of one incarnation: the later word wins.
func rank(s peer.State) int {
	return slices.Index([]peer.State{peer.Alive, peer.Suspect, peer.Dead, peer.Left}, s)
}

// supersedes reports whether news says more than the entry.
func (e *entry) supersedes(n peer.MemberUpdate) bool {
	if n.Member.Incarnation != e.member.Incarnation {
		return n.Member.Incarnation > e.member.Incarnation
	}
	return rank(n.State) > rank(e.state)
}

// buckets is the number of parts in which two views are compared.
const buckets = 16

// digests hashes the live members of each bucket; equal views have equal digests.
type digests [buckets]uint64

func bucketOf(name string) int {
	return int(xxhash.Sum64String(name) % buckets)
}

func (d *digests) add(m fireflypath.Member) {
	var b [8]byte
	for i := range b {
		b[i] = byte(m.Incarnation >> (8 * i))
	}
	d[bucketOf(m.Name)] ^= xxhash.Sum64String(m.Name + "/" + string(b[:]))
}

// sum joins the buckets to the one number that beats carry. It is short, since
// it is sent a dozen times a second; two views that differ and agree in it are
// told apart at the next change.
func (d *digests) sum() uint32 {
	var v uint64
	for i, b := range d {
		v ^= b + uint64(i)*b
	}
	return uint32(v ^ v>>32)
}

// view is a published state of the membership. It is never changed.
type view struct {
	live    []fireflypath.Member
	digests digests
	sum     uint32
	// missing is the number of daemons that died lately and did not leave.
	missing int
}

func newView(ms []fireflypath.Member, missing int) *view {
	slices.SortFunc(ms, func(a, b fireflypath.Member) int { return strings.Compare(a.Name, b.Name) })
	v := &view{live: ms, missing: missing}
	for _, m := range ms {
		v.digests.add(m)
	}
	v.sum = v.digests.sum()
	return v
}
