package member_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/member"
)

// restartAll kills all daemons and starts those with the given names again, each with the
// records that the store held.
func (f *fleet) restartAll(t *testing.T, names []string) {
	records, err := f.store.List(t.Context(), member.RecordPrefix)
	if err != nil {
		t.Fatal(err)
	}
	for name := range f.daemons {
		f.kill(name)
	}
	time.Sleep(time.Second)
	for i, name := range names {
		d := f.start(name)
		d.members.AdoptRecords(records)
		if i == 0 {
			// No other daemon runs yet that could confirm a member.
			is.New(t).Equal(unconfirmed(d.members.Live()), len(records)-1)
		}
	}
}

func unconfirmed(ms []fireflypath.Member) int {
	n := 0
	for _, m := range ms {
		if m.Unconfirmed {
			n++
		}
	}
	return n
}

// All hosts lose power at once. A daemon that starts must know the fleet from its first read
// of the store: until it finds the others by itself it would use all of their targets.
func TestFleetRestartKnowsMembersAtOnce(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		names := []string{"d0", "d1", "d2", "d3", "d4", "d5", "d6", "d7", "d8"}
		time.Sleep(time.Second) // the records are written after the start
		f.restartAll(t, names)
		for _, d := range f.daemons {
			is.Equal(len(d.members.Live()), len(names))
		}
		f.waitFor(5*time.Second, "all know the new incarnations", f.converged)
		time.Sleep(3 * time.Second)
		for _, d := range f.daemons {
			is.Equal(unconfirmed(d.members.Live()), 0)
		}
	})
}

// A host does not come back after a loss of power of all. Its record is still there, and the
// others must find that it is gone.
func TestAdoptedMemberThatIsGoneIsRemoved(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		time.Sleep(time.Second)
		f.restartAll(t, []string{"d0", "d1", "d2", "d3", "d4", "d5", "d6", "d7"})
		is.Equal(len(f.daemons["d0"].members.Live()), 9)
		f.waitFor(12*time.Second, "the missing daemon is declared dead", f.converged)
	})
}

// A daemon reads all keys again after the store lost its history. Records of daemons that it
// knows to be dead must not bring them back.
func TestRecordsAreAdoptedOnlyAtStart(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		time.Sleep(time.Second)
		records, err := f.store.List(t.Context(), member.RecordPrefix)
		is.NoErr(err)
		f.kill("d4")
		f.waitFor(6*time.Second, "the others declare it dead", f.converged)
		f.daemons["d0"].members.AdoptRecords(records)
		is.Equal(len(f.daemons["d0"].members.Live()), 8)
	})
}

// Guards against a member that counts as running although its host has no power, because another daemon
// that knows it only from its record as well sent it in a comparison of views: calls to it block their
// callers until they time out.
func TestAdoptedMemberIsNotEvidence(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		time.Sleep(time.Second)
		records, err := f.store.List(t.Context(), member.RecordPrefix)
		is.NoErr(err)
		for name := range f.daemons {
			f.kill(name)
		}
		time.Sleep(time.Second)
		f.seeds = []string{"d0:1"}
		f.start("d0").members.AdoptRecords(records)
		d := f.start("d1")
		d.members.AdoptMembers([]fireflypath.Member{{Name: "d0", PeerAddr: "d0:1"}})
		time.Sleep(time.Second) // it compares its view with that of d0
		for _, m := range d.members.Live() {
			is.True(m.Unconfirmed || m.Name == "d0" || m.Name == "d1")
		}
	})
}

// Guards against a daemon that chooses its cell as if there were no other failure domains, because its
// first view came from another daemon and not from the store, which has the records of all.
func TestMembersOfSourceAreAdopted(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		d := f.start("e0")
		d.members.AdoptMembers(f.daemons["d0"].members.Live())
		is.Equal(len(d.members.Live()), 10)
		is.Equal(unconfirmed(d.members.Live()), 9)
		f.waitFor(5*time.Second, "all know each other", f.converged)
	})
}
