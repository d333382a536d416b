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
