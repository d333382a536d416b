package limits_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/gate/limits"
)

var start = time.Unix(1000, 0)

// A large fleet that loses power restarts with no state. Each daemon finds targets that
// refuse requests and sends each to the next one. All daemons together must stay within the
// retry budget: they tried seven targets within a few milliseconds, several times the
// allowed number of retries, and delayed the recovery of the targets.
func TestRetryBudgetHoldsWhenFleetStartsTogether(t *testing.T) {
	is := is.New(t)
	const daemons, requests, allowance = 295, 40, 630
	cfg := limits.Config{Ratio: 0.2, Window: 10 * time.Second, Allowance: allowance}
	retries := 0
	for range daemons {
		l := limits.New(cfg, 8, 1.0/8)
		l.Apply(start, &fireflypath.Config{})
		for i := range requests {
			now := start.Add(time.Duration(i) * 200 * time.Millisecond)
			l.CountRequest(now, "p")
			for range 7 {
				if l.TakeRetry(now, "p") {
					retries++
				}
			}
		}
	}
	is.True(retries > 0)
	is.True(float64(retries) <= 0.2*daemons*requests+allowance)
}

// The allowance lets a daemon with few requests retry when targets fail at low load.
func TestAllowanceIsGrantedAfterFirstWindow(t *testing.T) {
	is := is.New(t)
	l := limits.New(limits.Config{Ratio: 0.2, Window: 10 * time.Second, Allowance: 56}, 8, 1.0/8)
	l.Apply(start, &fireflypath.Config{})
	now := start.Add(11 * time.Second)
	l.CountRequest(now, "p")
	is.True(l.TakeRetry(now, "p"))
}

// A large fleet starts again after a loss of power, and its daemons know each other at once.
// Until the coordinators answer, all of them together must not grant more than the quota:
// with the part of a fleet of eight, each of 86 daemons, they granted ten times its rate.
func TestQuotaHoldsWhenLargeFleetStartsTogether(t *testing.T) {
	is := is.New(t)
	const daemons, seconds = 86, 4
	team := fireflypath.Team{Name: "a", Quota: &fireflypath.Quota{Unit: fireflypath.UnitTokens, Rate: 100_000}}
	granted := 0.0
	for range daemons {
		l := limits.New(limits.Config{}, 8, 1.0/8)
		l.Apply(start, &fireflypath.Config{Teams: []fireflypath.Team{team}})
		l.SetLargeFleet(start, daemons)
		for i := range seconds * 10 {
			now := start.Add(time.Duration(i) * 100 * time.Millisecond)
			for l.Take(now, &team, 100, 0).OK {
				granted += 100
			}
		}
		l.SetFraction(start.Add(seconds*time.Second), "a", 0.5)
		l.SetLargeFleet(start.Add(seconds*time.Second), daemons+1)
		is.True(l.Take(start.Add((seconds+1)*time.Second), &team, 20_000, 0).OK) // what the coordinator sets stays
	}
	is.True(granted <= (seconds+1)*team.Quota.Rate)
}
