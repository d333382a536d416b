package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fireflypath/fireflypath/platform"
)

const (
	// poisonBody is the body of the request that crashes each target that runs it. One
	// in sharedBodyRatio requests of the other callers has sharedBody.
	poisonBody      = "the work that no target survives"
	sharedBody      = "the work that many ask for"
	sharedBodyRatio = 5
	// crashedTargetDelay is the time until a crashed target is replaced.
	crashedTargetDelay = 500 * time.Millisecond
	// After crashThreshold crashes, all daemons must hold the request within
	// detectionTime. At most maxLateCrashes targets may crash after that.
	crashThreshold = 3
	detectionTime  = 3 * time.Second
	maxLateCrashes = 3
)

// poisonCrashes counts the targets that the poison request has crashed.
type poisonCrashes struct {
	// total counts all crashes, late those that happened although all daemons should
	// have held the request and no fault kept them from exchanging reports.
	total, late atomic.Int32
	// thresholdAt is the time of crash number crashThreshold, in Unix nanoseconds.
	thresholdAt atomic.Int64
}

// record counts a crash. stable is true if no fault has kept the daemons from exchanging
// reports.
func (c *poisonCrashes) record(now time.Time, stable bool) {
	if n := c.total.Add(1); n == crashThreshold {
		c.thresholdAt.Store(now.UnixNano())
	}
	at := c.thresholdAt.Load()
	if at != 0 && stable && now.Sub(time.Unix(0, at)) > detectionTime {
		c.late.Add(1)
	}
}

// isStable reports whether neither a daemon nor the store has had a fault recently.
func (r *run) isStable() bool {
	for _, d := range r.daemons {
		if !d.isStable() {
			return false
		}
	}
	return r.disturbances.Load() == 0
}

// crashByPoison crashes a target that started to run the poison request and replaces it.
func (r *run) crashByPoison(t *target) {
	r.poisonCrashes.record(time.Now(), r.isStable())
	removed := r.removeTarget(t)
	t.crash()
	if !removed {
		return // an injected fault has removed the target and replaces it
	}
	time.Sleep(crashedTargetDelay)
	r.store.RemoveTarget(t.name)
	r.addReplacement()
}

// removeTarget removes a target from the list and reports whether it was there.
func (r *run) removeTarget(t *target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, o := range r.targets {
		if o == t {
			r.targets = append(r.targets[:i], r.targets[i+1:]...)
			return true
		}
	}
	return false
}

// sendPoisonRequests repeatedly sends the poison request to random daemons.
func (r *run) sendPoisonRequests(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(r.options.Seed, 7))
	path := paths[rnd.IntN(len(paths))]
	c := &caller{
		index: -1, headers: platform.Codec{}.Headers(), history: r.history, daemons: r.daemons, keys: r.keys,
		client: &http.Client{Transport: &http.Transport{}}, rnd: rnd, attempted: &atomic.Int64{}, succeeded: &atomic.Int64{},
		losses: &atomic.Pointer[lossWindow]{}, streams: &streamCounts{},
	}
	for i := 0; ctx.Err() == nil; i++ {
		c.sendBody(ctx, fmt.Sprintf("deadly-%d", i), path, poisonBody)
		sleep(ctx, time.Duration(200+rnd.IntN(600))*time.Millisecond)
	}
}

// checkPoisonCrashes checks that the daemons held the poison request in time.
func (r *run) checkPoisonCrashes() {
	late := r.poisonCrashes.late.Load()
	r.history.check(invariantHeld, late <= maxLateCrashes, "%d targets crashed after all daemons should have held the poison request, %d in total",
		late, r.poisonCrashes.total.Load())
}

// isHeldRefusal reports whether a response refuses a request for crashing targets.
func isHeldRefusal(text string) bool {
	var body struct{ Code string }
	return strings.HasPrefix(text, "{") && json.Unmarshal([]byte(text), &body) == nil && body.Code == "held"
}
