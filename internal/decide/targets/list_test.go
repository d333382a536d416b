package targets_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/targets"
)

// A few of thousands of targets change. What a daemon does for that must not grow with all of them.
func TestChangeCostsWhatHasChanged(t *testing.T) {
	for _, n := range []int{30, 300, 3000} {
		is := is.New(t)
		var list []fireflypath.Target
		for i := range n {
			list = append(list, fireflypath.Target{Name: fmt.Sprintf("t%05d", i), Slots: 1})
		}
		var l targets.List
		calls := 0
		count := func(fireflypath.Target) { calls++ }
		l.Update(list, count, count)
		is.Equal(calls, n)
		calls = 0
		next := append([]fireflypath.Target{}, list[1:]...)
		next[4].Slots = 2
		next = append(next, fireflypath.Target{Name: "u"})
		l.Update(next, count, count)
		is.Equal(calls, 4) // one is gone, one replaced, one new
	}
}

// Whatever the lists are, and in whatever order, a map that follows the changes holds the last one.
func TestMapFollowsList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l targets.List
		held := map[string]fireflypath.Target{}
		for range 5 {
			var next []fireflypath.Target
			names := rapid.SliceOfNDistinct(rapid.StringMatching("[a-e]{1,2}"), 0, 8, rapid.ID[string]).Draw(t, "names")
			for _, name := range names {
				next = append(next, fireflypath.Target{Name: name, Slots: rapid.IntRange(1, 3).Draw(t, "slots")})
			}
			l.Update(next, func(o fireflypath.Target) { delete(held, o.Name) }, func(n fireflypath.Target) { held[n.Name] = n })
			if len(held) != len(next) {
				t.Fatalf("%d targets held, %d listed", len(held), len(next))
			}
			for _, n := range next {
				if held[n.Name] != n {
					t.Fatalf("%s is held as %v", n.Name, held[n.Name])
				}
				if found, ok := l.FindIdentity(n.Identity()); !ok || found != n {
					t.Fatalf("%s is found as %v", n.Identity(), found)
				}
				if _, ok := l.FindIdentity(n.Name + "@9"); ok {
					t.Fatalf("another incarnation of %s is found", n.Name)
				}
			}
		}
	})
}
