package limits_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/gate/limits"
)

var start = time.Unix(1000, 0)

// All daemons of a large fleet lose power together. Each starts again knowing nothing
// of the others, finds targets that refuse what they cannot take yet, and sends each
// request to the next one. All daemons together must stay within the budget of repeats:
// they tried seven targets within a few milliseconds, several times what is allowed,
// and held the targets up when these came back.
func TestFleetThatStartsTogetherKeepsTheRetryBudget(t *testing.T) {
	is := is.New(t)
	const daemons, requests, allowance = 295, 40, 630
	cfg := limits.Config{Ratio: 0.2, Window: 10 * time.Second, Allowance: allowance}
	repeats := 0
	for range daemons {
		l := limits.New(cfg, 8, 1.0/8)
		l.Apply(start, &fireflypath.Config{})
		for i := range requests {
			now := start.Add(time.Duration(i) * 200 * time.Millisecond)
			l.Request(now, "p")
			for range 7 {
				if l.Repeat(now, "p") {
					repeats++
				}
			}
		}
	}
	is.True(repeats > 0)
	is.True(float64(repeats) <= 0.2*daemons*requests+allowance)
}

// A daemon that has run for a while repeats more than its few requests entitle it to:
// the allowance is for targets that fail while little is asked for.
func TestAllowanceIsThereAfterTheFirstWindow(t *testing.T) {
	is := is.New(t)
	l := limits.New(limits.Config{Ratio: 0.2, Window: 10 * time.Second, Allowance: 56}, 8, 1.0/8)
	l.Apply(start, &fireflypath.Config{})
	now := start.Add(11 * time.Second)
	l.Request(now, "p")
	is.True(l.Repeat(now, "p"))
}
