package main

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Load and times of the case.
const (
	surgeDaemons = 14
	// usualTokens is what the team usually sends a second, surgeFactor how many times that in the surge,
	// requestTokens what one request counts.
	usualTokens   = 60_000
	surgeFactor   = 7.5
	requestTokens = 1170
	requestHeader = "1110,60"
	// quotaRate and quotaBurst are the team's in quota.json.
	quotaRate  = 108_133
	quotaBurst = 108_133

	surgeAt     = 4 * time.Second
	surgeEnds   = 14 * time.Second
	surgeTick   = 5 * time.Millisecond
	callerLimit = 3 * time.Second
)

// playSurge has a team send many times its usual at the moment at which the daemon that coordinates the
// team's quota is lost. It breaks the rule if the targets run more than the quota and its tolerance allow
// in a window.
func playSurge(w *world, trouble bool) (bool, error) {
	if err := w.putConfig("review/lab/quota.json"); err != nil {
		return false, err
	}
	if err := w.startTargets(6, 12, 5*time.Millisecond); err != nil {
		return false, err
	}
	if err := w.startDaemons(surgeDaemons, []string{"a", "b"}); err != nil {
		return false, err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	return w.judgeQuota(w.playSurgeTraffic(trouble)), nil
}

// coordinator returns the daemon that coordinates quotas: among equal hosts the one with the lowest hash
// of its name.
func (w *world) coordinator() *daemon {
	return slices.MinFunc(w.daemons, func(a, b *daemon) int {
		return cmp.Compare(xxhash.Sum64String(a.name), xxhash.Sum64String(b.name))
	})
}

// playSurgeTraffic sends the team's requests evenly to all daemons but the one that is lost.
func (w *world) playSurgeTraffic(trouble bool) map[string]*sentRequest {
	c := newCallers(w.rec)
	lost := w.coordinator()
	others := slices.DeleteFunc(slices.Clone(w.daemons), func(d *daemon) bool { return d == lost })
	spec := call{host: "records.example", path: "/fetch/x", key: "key-of-t", tokens: requestHeader, deadline: callerLimit}
	start := time.Now()
	last, due, next, surging := start, 0.0, 0, false
	tick := time.NewTicker(surgeTick)
	defer tick.Stop()
	for now := range tick.C {
		elapsed := now.Sub(start)
		if elapsed > surgeEnds {
			break
		}
		if !surging && elapsed >= surgeAt {
			surging = true
			w.rec.note("the team sends %v times its usual", surgeFactor)
			if trouble {
				w.rec.note("%s is lost for good", lost.name)
				lost.kill()
			}
		}
		rate := float64(usualTokens)
		if surging {
			rate *= surgeFactor
		}
		due += rate / requestTokens * now.Sub(last).Seconds()
		last = now
		for ; due >= 1; due-- {
			c.send(others[next%len(others)], spec)
			next++
		}
	}
	return c.finish()
}

// judgeQuota reports whether in some window more was both sent and run than the quota allows.
func (w *world) judgeQuota(sent map[string]*sentRequest) bool {
	var runs []run
	for _, t := range w.targets {
		for _, a := range t.taken() {
			if s := sent[a.id]; s != nil {
				runs = append(runs, run{sent: s.at, ran: a.at})
			}
		}
	}
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOvershoot) + quotaSlack
	most, from := 0, time.Time{}
	for _, first := range runs {
		if n := requestTokens * countWithin(runs, first.sent); n > most {
			most, from = n, first.sent
		}
	}
	w.rec.note("%d requests, by status %v", len(sent), statuses(sent))
	w.rec.note("most tokens sent and run in %v: %d, from %.3f on; %.0f are allowed", quotaWindow, most, w.rec.at(from), allowed)
	return float64(most) > allowed
}

// run is when a request was sent and when a target began to run it.
type run struct{ sent, ran time.Time }

// countWithin counts the requests that were sent and run within the window from a time on.
func countWithin(runs []run, from time.Time) int {
	n := 0
	for _, r := range runs {
		if !r.sent.Before(from) && r.ran.Sub(from) <= quotaWindow {
			n++
		}
	}
	return n
}
