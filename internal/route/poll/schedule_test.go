package poll

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
)

// Every daemon reads every target once a second, which costs more bytes than
// control may; with a few times the targets it would be many times as much.
// Bounded reads must still go first to the targets that hold work, leave no
// target out, and let some daemon see each target about once a second, as a
// target that leaves may tell nobody else.
func TestReadsKeepToTheBudget(t *testing.T) {
	tests := []struct {
		name                 string
		targets, held, mates int
		// rate is the most reads a second, in a minute; gap is the longest time
		// between two reads of an idle target and of one with work, in s.
		rate           float64
		idle, withWork int
	}{
		{"today, idle", 15, 0, 9, 5, 3, 0},
		{"today, some work", 15, 3, 9, 8.1, 3, 2},
		{"today, all with work", 15, 15, 9, 8.1, 0, 2},
		{"today, alone", 15, 5, 1, 15, 1, 1},
		{"today, two daemons", 15, 0, 2, 7.6, 2, 0},
		{"the letter's size", 64, 8, 9, 8.1, 13, 9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSchedule()
			s.tokens = 0 // the saved reads are gone
			all := make([]candidate, tt.targets)
			last, gap := map[string]int{}, map[bool]int{}
			for i := range all {
				all[i] = candidate{Target: fireflypath.Target{Name: fmt.Sprint("e", i)}, active: i < tt.held}
			}
			reads := 0
			const seconds = 120
			for at := range seconds {
				for _, c := range s.selectDue(time.Unix(int64(at), 0), all, tt.mates) {
					if was, ok := last[c.Name]; ok {
						gap[c.active] = max(gap[c.active], at-was)
					}
					last[c.Name] = at
					reads++
				}
			}
			t.Logf("%.1f reads a second, gaps %v", float64(reads)/seconds, gap)
			is.True(float64(reads)/seconds <= tt.rate)
			is.Equal(len(last), tt.targets)
			is.True(gap[false] <= tt.idle)
			is.True(gap[true] <= tt.withWork)
		})
	}
}
