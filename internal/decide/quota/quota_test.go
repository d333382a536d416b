package quota_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/quota"
)

var start = time.Unix(1000, 0)

func TestBucketRefillsAtItsRate(t *testing.T) {
	is := is.New(t)
	q := fireflypath.Quota{Rate: 100, Burst: 200}
	b := quota.New(start, q, quota.Tolerance{}, 1)
	now := start.Add(time.Minute)
	_, ok := b.Take(now, 200, 0)
	is.True(ok)
	wait, ok := b.Take(now, 50, 0)
	is.True(!ok)
	is.Equal(wait, 500*time.Millisecond)
	_, ok = b.Take(now.Add(wait), 50, 0)
	is.True(ok)
	is.Equal(b.Used(), 250.0)
}

// A single request larger than the burst is admitted by a full bucket and paid back
// afterwards: otherwise its caller would never be served.
func TestFullBucketAdmitsRequestLargerThanBurst(t *testing.T) {
	is := is.New(t)
	b := quota.New(start, fireflypath.Quota{Rate: 100, Burst: 200}, quota.Tolerance{}, 1)
	now := start.Add(time.Minute)
	_, ok := b.Take(now, 700, 0)
	is.True(ok)
	wait, ok := b.Take(now, 1, 0)
	is.True(!ok)
	is.Equal(wait, 5010*time.Millisecond)
}

// Half of the daemons are unreachable. This one uses only its fraction, so that two
// partitions together grant the quota once.
func TestFractionLimitsPartitionedDaemons(t *testing.T) {
	is := is.New(t)
	b := quota.New(start, fireflypath.Quota{Rate: 100, Burst: 100}, quota.Tolerance{}, 0.5)
	now, used := start, 0.0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if _, ok := b.Take(now, 1, 0); ok {
			used++
		}
	}
	is.True(used <= 0.5*(100*10+100))
	is.True(used >= 0.5*100*10)
}

// A team sends without end to several daemons that report its use to each other with a
// lag. Its use in any window must stay within quota and tolerance.
func TestCopiesStayWithinTheTolerance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := fireflypath.Quota{Rate: 1000, Burst: 1000}
		tolerance := quota.Tolerance{Over: 0.1, Slack: 2000, Window: 8 * time.Second}
		daemons := rapid.IntRange(1, 9).Draw(t, "daemons")
		lag := rapid.IntRange(1, 20).Draw(t, "lag in steps of 10 ms")
		size := rapid.IntRange(1, 100).Draw(t, "size")
		var copies []*quota.Bucket
		for range daemons {
			copies = append(copies, quota.New(start, q, tolerance, 1))
		}
		reported := make([]float64, daemons)
		const steps = 2000
		used := make([]float64, steps)
		for i := range steps {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			// All daemons together are offered about four times the quota.
			for d := range copies {
				for range 1 + 4000/100/daemons/size {
					if _, ok := copies[d].Take(now, float64(size), 0); ok {
						used[i] += float64(size)
					}
				}
			}
			if i%lag != 0 {
				continue
			}
			for d := range copies {
				n := copies[d].Used() - reported[d]
				reported[d] += n
				for other := range copies {
					if other != d {
						copies[other].DeductRemoteUse(now, n)
					}
				}
			}
		}
		window := int(tolerance.Window / (10 * time.Millisecond))
		sum := 0.0
		limit := (q.Rate*tolerance.Window.Seconds()+q.Burst)*(1+tolerance.Over) + tolerance.Slack
		for i := range steps {
			sum += used[i]
			if i >= window {
				sum -= used[i-window]
			}
			if sum > limit {
				t.Fatalf("%v used in a window, %v allowed", sum, limit)
			}
		}
	})
}

// Guards against daemons that are cut off from each other and each grant all of a team's quota until they
// notice.
func TestCutCopiesStayWithinTheTolerance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			daemons = 8
			step    = 10 * time.Millisecond
			steps   = 2000
			// lost is when the others count as lost, in steps.
			lost = 250
			// offered is what all daemons are offered together, times the quota.
			offered = 7.5
		)
		q := fireflypath.Quota{Rate: 100_000, Burst: 100_000}
		tolerance := quota.Tolerance{Over: 0.1, Slack: 190_000, Window: 8 * time.Second}
		// noticed is when a daemon without contact counts on its part, in steps.
		noticed := 1 + int(tolerance.TimeWithoutContact(q, daemons)/step)
		lag := rapid.IntRange(1, 6).Draw(t, "lag in steps")
		size := float64(rapid.IntRange(500, 4000).Draw(t, "size"))
		cutAt := rapid.IntRange(0, 1500).Draw(t, "cut at step")
		healedAt := cutAt + rapid.IntRange(10, 700).Draw(t, "steps of the cut")
		group := make([]int, daemons) // daemons of one group stay in contact during the cut
		groupSize := map[int]int{}
		for d := range group {
			group[d] = rapid.IntRange(0, daemons-1).Draw(t, "group")
			groupSize[group[d]]++
		}
		var copies []*quota.Bucket
		for range daemons {
			copies = append(copies, quota.New(start, q, tolerance, 1))
		}
		var reported [daemons][daemons]float64
		used := make([]float64, steps)
		credit := make([]float64, daemons)
		for i := range steps {
			now := start.Add(time.Duration(i) * step)
			cut := i >= cutAt && i < healedAt
			for d := range copies {
				part := float64(groupSize[group[d]]) / daemons
				switch {
				case cut && i == cutAt+noticed:
					copies[d].SetReachable(now, part)
				case cut && i == cutAt+lost:
					copies[d].SetFraction(now, part)
				case i == healedAt+lag:
					copies[d].SetReachable(now, 1)
					copies[d].SetFraction(now, 1)
				}
				for credit[d] += offered * q.Rate * step.Seconds() / daemons; credit[d] >= size; credit[d] -= size {
					if _, ok := copies[d].Take(now, size, 0); ok {
						used[i] += size
					}
				}
				for from := range copies {
					if i%lag == 0 && from != d && (!cut || group[from] == group[d]) {
						copies[d].DeductRemoteUse(now, copies[from].Used()-reported[from][d])
						reported[from][d] = copies[from].Used()
					}
				}
			}
		}
		window := int(tolerance.Window / step)
		limit := (q.Rate*tolerance.Window.Seconds()+q.Burst)*(1+tolerance.Over) + tolerance.Slack
		sum := 0.0
		for i := range steps {
			sum += used[i]
			if i >= window {
				sum -= used[i-window]
			}
			if sum > limit {
				t.Fatalf("%.0f units in the window to step %d, at most %.0f", sum, i, limit)
			}
		}
	})
}

// A quota is reduced sharply while its bucket is full.
func TestLowerQuotaAppliesAtOnce(t *testing.T) {
	is := is.New(t)
	b := quota.New(start, fireflypath.Quota{Rate: 1000, Burst: 5000}, quota.Tolerance{}, 1)
	now := start.Add(time.Minute)
	b.SetQuota(now, fireflypath.Quota{Rate: 10, Burst: 10})
	is.Equal(b.Level(now), 10.0)
}

// A team sends several times its quota, mostly in a low tier. Its highest tier must still
// get through: in order of arrival it would get a fifth.
func TestHighestTierOfTeamIsServedFirst(t *testing.T) {
	is := is.New(t)
	b := quota.New(start, fireflypath.Quota{Rate: 1000, Burst: 1000}, quota.Tolerance{}, 1)
	now := start
	high, requested := 0, 0
	for i := range 5000 {
		now = now.Add(10 * time.Millisecond)
		for range 4 {
			b.Take(now, 10, 2)
		}
		if i%2 == 0 { // half of the quota's rate
			requested++
			if _, ok := b.Take(now, 10, 0); ok {
				high++
			}
		}
	}
	is.True(high > requested*95/100)
}
