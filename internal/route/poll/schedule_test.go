package poll

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
)

// Guards against polling that exceeds the bandwidth allowed for control traffic,
// as it would if every daemon read every target once a second; with a few times
// the targets it would be exceeded many times over. Within the limit, targets with
// requests are read first, no target is left out, and each target is read by some
// daemon about once a second, because a leaving target may announce it only there.
func TestReadsStayWithinRateLimit(t *testing.T) {
	tests := []struct {
		name                     string
		targets, active, readers int
		// maxRate is the highest average of reads per second. maxIdleGap and
		// maxActiveGap are the longest time in seconds between two reads of an idle
		// target and of one with requests.
		maxRate                  float64
		maxIdleGap, maxActiveGap int
	}{
		{"15 targets, idle", 15, 0, 9, 5, 3, 0},
		{"15 targets, some active", 15, 3, 9, 8.1, 3, 2},
		{"15 targets, all active", 15, 15, 9, 8.1, 0, 2},
		{"15 targets, one daemon", 15, 5, 1, 15, 1, 1},
		{"15 targets, two daemons", 15, 0, 2, 7.6, 2, 0},
		{"64 targets, some active", 64, 8, 9, 8.1, 13, 9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSchedule()
			s.tokens = 0 // no accumulated reads
			all := make([]candidate, tt.targets)
			lastRead, maxGap := map[string]int{}, map[bool]int{}
			for i := range all {
				all[i] = candidate{Target: fireflypath.Target{Name: fmt.Sprint("e", i)}, active: i < tt.active}
			}
			reads := 0
			const seconds = 120
			for at := range seconds {
				for _, c := range s.selectDue(time.Unix(int64(at), 0), all, tt.readers) {
					if previous, ok := lastRead[c.Name]; ok {
						maxGap[c.active] = max(maxGap[c.active], at-previous)
					}
					lastRead[c.Name] = at
					reads++
				}
			}
			t.Logf("%.1f reads per second, longest gaps %v", float64(reads)/seconds, maxGap)
			is.True(float64(reads)/seconds <= tt.maxRate)
			is.Equal(len(lastRead), tt.targets)
			is.True(maxGap[false] <= tt.maxIdleGap)
			is.True(maxGap[true] <= tt.maxActiveGap)
		})
	}
}
