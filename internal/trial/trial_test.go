package trial

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath/internal/mix"
)

// shortSpan is the span of most runs: the warm-up and as much measured time.
const shortSpan = 40 * time.Second

// runTrial runs a trial of the short span and returns its rows by tier.
func runTrial(t *testing.T, load, mix, policy string, seed uint64) map[string]Row {
	t.Helper()
	return runTrialFor(t, shortSpan, load, mix, policy, seed)
}

func runTrialFor(t *testing.T, span time.Duration, load, mix, policy string, seed uint64) map[string]Row {
	t.Helper()
	rows, err := Run(Options{Load: load, Mix: mix, Policy: policy, Seed: seed, Span: span})
	is.New(t).NoErr(err)
	out := make(map[string]Row)
	for _, r := range rows {
		out[r.Tier] = r
	}
	return out
}

// highestTier returns the name of a mix's highest tier.
func highestTier(mix string) string {
	if mix == "pozo" {
		return "workover"
	}
	return "exchange"
}

// forEachMix runs a test for both mixes, with seeds that no parameter was tuned on.
func forEachMix(t *testing.T, fn func(t *testing.T, mix string, seed uint64)) {
	t.Parallel()
	for i, m := range Mixes() {
		t.Run(m, func(t *testing.T) {
			t.Parallel()
			fn(t, m, 99+uint64(i))
		})
	}
}

func TestRunIsRepeatable(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var text [2]string
	for i := range text {
		rows, err := Run(Options{Load: "overload-3", Mix: "pozo", Policy: "shipped", Seed: 5, Span: shortSpan})
		is.NoErr(err)
		b, err := json.Marshal(rows)
		is.NoErr(err)
		text[i] = string(b)
	}
	is.Equal(text[0], text[1])
}

func TestRunRefusesUnknownNames(t *testing.T) {
	for _, o := range []Options{
		{Load: "x", Mix: "pozo", Policy: "rr"},
		{Load: "steady", Mix: "x", Policy: "rr"},
		{Load: "steady", Mix: "pozo", Policy: "x"},
	} {
		if _, err := Run(o); err == nil {
			t.Errorf("%+v was run", o)
		}
	}
}

// All teams send six times as much for a short time. Callers of the highest tier must
// still be answered in time, and more of them than by a plain gateway.
func TestBurst(t *testing.T) {
	forEachMix(t, func(t *testing.T, mix string, seed uint64) {
		is := is.New(t)
		shipped, gateway := runTrialFor(t, Span, "burst", mix, "shipped", seed), runTrialFor(t, Span, "burst", mix, "least", seed)
		is.True(shipped[highestTier(mix)].Goodput >= 0.985)
		is.True(shipped[highestTier(mix)].Goodput > gateway[highestTier(mix)].Goodput)
		is.True(shipped["all"].Goodput >= gateway["all"].Goodput)
	})
}

// One team sends twelve times its usual rate, more than the targets can serve. A small
// team of the same tier must still be answered in time.
func TestHotTeam(t *testing.T) {
	forEachMix(t, func(t *testing.T, mix string, seed uint64) {
		is := is.New(t)
		shipped, gateway := runTrial(t, "hot-team", mix, "shipped", seed), runTrial(t, "hot-team", mix, "least", seed)
		is.True(shipped["cold"].Goodput >= 0.95) // of about 50 requests
		is.True(shipped["cold"].Goodput >= gateway["cold"].Goodput)
		is.True(shipped["cold"].P99 < gateway["cold"].P99)
	})
}

// All prompts of a stream begin with the same long text. Guards against overloading the
// targets that have it cached while others are idle, and against prefilling it for each
// request.
func TestHotPrefix(t *testing.T) {
	forEachMix(t, func(t *testing.T, mix string, seed uint64) {
		is := is.New(t)
		shipped, gateway := runTrial(t, "hot-prefix", mix, "shipped", seed), runTrial(t, "hot-prefix", mix, "rr", seed)
		is.True(shipped["all"].Goodput >= 0.999)
		is.True(shipped["all"].PrefixHit >= 0.7)
		is.True(shipped["all"].P99 < gateway["all"].P99)
	})
}

// Two targets become ten times slower without reporting it. Callers of the highest tier
// must still be answered in time; round robin continues to send requests to the two.
func TestSlowTarget(t *testing.T) {
	forEachMix(t, func(t *testing.T, mix string, seed uint64) {
		is := is.New(t)
		shipped, gateway := runTrial(t, "slow-target", mix, "shipped", seed), runTrial(t, "slow-target", mix, "rr", seed)
		is.True(shipped[highestTier(mix)].Goodput >= 0.97)
		is.True(shipped["all"].Goodput > gateway["all"].Goodput+0.1)
	})
}

// A tenth of the requests is a hundred times longer than the others. Short requests
// must not wait behind long ones, and long ones must be answered too.
func TestLongAmongShort(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	shipped, gateway := runTrial(t, "long-short", "pozo", "shipped", 99), runTrial(t, "long-short", "pozo", "rr", 99)
	is.True(shipped["short"].P99*5 < gateway["short"].P99)
	is.Equal(shipped["short"].Goodput, 1.0)
	is.Equal(shipped["long"].Goodput, 1.0)
}

// Three times as much arrives as the targets can serve. The highest tier must be
// served, hardly any prefill may be wasted, no tier may be refused while a lower one
// waits, and more must be answered than by a gateway in order of arrival.
func TestOverload(t *testing.T) {
	forEachMix(t, func(t *testing.T, mix string, seed uint64) {
		is := is.New(t)
		shipped, gateway := runTrial(t, "overload-3", mix, "shipped", seed), runTrial(t, "overload-3", mix, "least", seed)
		is.True(shipped[highestTier(mix)].Goodput >= 0.99)
		is.True(shipped["all"].Wasted < 0.01)
		is.Equal(shipped["all"].Inversions, 0)
		is.True(shipped["all"].Goodput > gateway["all"].Goodput+0.2)
		is.True(gateway["all"].Inversions > 0) // shows that the check can fail
		upperBound := runTrial(t, "overload-3", mix, "bound", seed)
		is.True(shipped["all"].Goodput <= upperBound["all"].Goodput)
	})
}

// More arrives than the targets could serve with every shared prompt cached, so that a
// middle tier alone is overloaded. What cannot be served must be refused before its
// prompt is prefilled: otherwise callers wait for answers that come too late, on slots
// in which other requests would have been answered in time. The run is longer than
// others so that the first seconds, in which the daemons detect the overload, carry
// little weight.
func TestFlood(t *testing.T) {
	forEachMix(t, func(t *testing.T, mix string, seed uint64) {
		is := is.New(t)
		shipped := runTrialFor(t, 80*time.Second, "flood-3", mix, "shipped", seed)
		is.True(shipped[highestTier(mix)].Goodput >= 0.99)
		is.True(shipped["all"].Wasted < 0.01)
		is.Equal(shipped["all"].Inversions, 0)
	})
}

// Refused callers retry repeatedly and earlier than announced. This must not reduce the
// number of answers, and no tier may be refused while a lower one waits.
func TestRetryStorm(t *testing.T) {
	forEachMix(t, func(t *testing.T, mix string, seed uint64) {
		is := is.New(t)
		shipped := runTrial(t, "retry-storm", mix, "shipped", seed)
		is.True(shipped[highestTier(mix)].Goodput >= 0.98)
		is.True(shipped["all"].Goodput >= 0.97)
		is.Equal(shipped["all"].Inversions, 0)
	})
}

// Guards against invented retry times: a caller is told when capacity is expected, and
// at least nine in ten callers that retry then must be admitted.
func TestRetryAfterIsReliable(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	o := Options{Load: "retry-storm", Mix: "meelwerk", Policy: "shipped", Seed: 6, Span: Span}
	l, err := findLoad(o.Load)
	is.NoErr(err)
	p, err := findPolicy(o.Policy)
	is.NoErr(err)
	m := modelStreams(mix.Meelwerk())
	f := newFleet(l, m, p, o)
	f.run(generateArrivals(l, m, o))
	is.True(f.tally.retriedOnTime > 20)
	is.True(f.tally.admittedOnTime*10 >= f.tally.retriedOnTime*9)
}

// At a moderate load no tier may be worse off than behind a plain gateway.
func TestSteady(t *testing.T) {
	forEachMix(t, func(t *testing.T, mix string, seed uint64) {
		is := is.New(t)
		shipped, gateway := runTrial(t, "steady", mix, "shipped", seed), runTrial(t, "steady", mix, "least", seed)
		for tier, r := range shipped {
			is.True(r.Goodput >= gateway[tier].Goodput)
			is.True(r.P99 <= gateway[tier].P99)
		}
	})
}
