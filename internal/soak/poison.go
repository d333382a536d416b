package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

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
	// sharedPart begins most prompts, seldomPart few.
	sharedPart, seldomPart = "5f", "5e"
	// After crashThreshold crashes, all daemons must hold the request within
	// detectionTime, and after partThreshold crashes those with a part. At most maxLateCrashes
	// runs may reach targets after that.
	crashThreshold = 3
	partThreshold  = 5
	detectionTime  = 3 * time.Second
	maxLateCrashes = 3
)

// crashingParts are the parts of prompts that crash each target that runs them.
var crashingParts = []string{"d1", "d2"}

// poisonCrashes counts the targets that one request, or the requests with one part, have crashed.
type poisonCrashes struct {
	// what names the cause in reports; threshold is the number of crashes after which all daemons
	// must hold it.
	what      string
	threshold int32
	// total counts all crashes, late the runs that reached targets although all daemons should
	// have held the cause and no fault kept them from exchanging reports.
	total, late atomic.Int32
	// thresholdAt is the time of crash number threshold, in Unix nanoseconds.
	thresholdAt atomic.Int64
}

// recordArrival counts a run that reaches a target. stable is true if no fault has kept the daemons
// from exchanging reports.
func (c *poisonCrashes) recordArrival(now time.Time, stable bool) {
	at := c.thresholdAt.Load()
	if at != 0 && stable && now.Sub(time.Unix(0, at)) > detectionTime {
		c.late.Add(1)
	}
}

// recordCrash counts a crash.
func (c *poisonCrashes) recordCrash(now time.Time) {
	if n := c.total.Add(1); n == c.threshold {
		c.thresholdAt.Store(now.UnixNano())
	}
}

// poisons are the causes of crashes of a run.
type poisons struct {
	request *poisonCrashes
	parts   map[string]*poisonCrashes
}

func newPoisons() poisons {
	p := poisons{request: &poisonCrashes{what: "the poison request", threshold: crashThreshold}, parts: map[string]*poisonCrashes{}}
	for _, part := range crashingParts {
		p.parts[part] = &poisonCrashes{what: "requests with the part " + part, threshold: partThreshold}
	}
	return p
}

// find returns the cause of a request that crashes targets, or nil.
func (p poisons) find(body, prompt string) *poisonCrashes {
	if body == poisonBody {
		return p.request
	}
	for part, c := range p.parts {
		if strings.Contains(","+prompt, ","+part+":") {
			return c
		}
	}
	return nil
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

// crashByPoison crashes a target that started to run what crashes targets, and replaces it.
func (r *run) crashByPoison(t *target, c *poisonCrashes) {
	c.recordCrash(time.Now())
	removed := r.removeTarget(t)
	t.crash()
	if !removed {
		return // an injected fault has removed the target and replaces it
	}
	time.Sleep(crashedTargetDelay)
	r.store.RemoveTarget(t.name)
	r.reportError(r.replace(t))
}

// removeTarget removes a target from the list and reports whether it was there.
func (r *run) removeTarget(t *target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.listOf(t.pool)
	i := slices.Index(*list, t)
	if i < 0 {
		return false
	}
	*list = slices.Delete(*list, i, i+1)
	return true
}

// newPoisonCaller returns a caller whose requests crash targets.
func (r *run) newPoisonCaller(rnd *rand.Rand) *caller {
	return &caller{
		index: -1, headers: platform.Codec{}.Headers(), history: r.history, daemons: r.daemons, keys: r.keys, poison: true,
		client: &http.Client{Transport: &http.Transport{}}, rnd: rnd, attempted: &atomic.Int64{}, succeeded: &atomic.Int64{},
		losses: &atomic.Pointer[lossWindow]{}, crowd: &r.crowd, streams: &streamCounts{}, returnsTo: &r.returnsTo,
	}
}

// sendPoisonRequests repeatedly sends the poison request to random daemons.
func (r *run) sendPoisonRequests(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(r.options.Seed, 7))
	path := paths[rnd.IntN(len(paths))]
	c := r.newPoisonCaller(rnd)
	for i := 0; ctx.Err() == nil; i++ {
		c.sendBody(ctx, fmt.Sprintf("deadly-%d", i), path, poisonBody)
		sleep(ctx, time.Duration(200+rnd.IntN(600))*time.Millisecond)
	}
}

// sendCrashingPart repeatedly sends requests with a part that crashes targets to random daemons, no
// two alike, alone or in bursts, with the part now here, now there.
func (r *run) sendCrashingPart(ctx context.Context, part string, stream uint64) {
	rnd := rand.New(rand.NewPCG(r.options.Seed, stream))
	withCompanion := rnd.IntN(2) == 0
	var wg conc.WaitGroup
	defer wg.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		burst, pause := 1, time.Duration(200+rnd.IntN(600))*time.Millisecond
		if rnd.IntN(8) == 0 {
			burst, pause = 6, 2*time.Second
		}
		for k := range burst {
			id := fmt.Sprintf("%s-%d-%d", part, i, k)
			c := r.newPoisonCaller(rand.New(rand.NewPCG(r.options.Seed, stream+uint64(1000*i+k+1))))
			c.prompt = func(string) string { return crashingPrompt(c.rnd, part, id, withCompanion) }
			path := paths[rnd.IntN(len(paths))]
			wg.Go(func() { c.sendBody(ctx, id, path, "the work of "+id) })
		}
		sleep(ctx, pause)
	}
}

// crashingPrompt returns the parts of a prompt that crashes targets.
func crashingPrompt(rnd *rand.Rand, part, id string, withCompanion bool) string {
	prompt := part + ":40,"
	if withCompanion {
		prompt = "c" + part[1:] + ":10," + prompt
	}
	if rnd.IntN(3) > 0 {
		prompt = sharedPart + ":60," + prompt
	}
	if rnd.IntN(3) == 0 {
		prompt += subjectOf(id) + ":300,"
	}
	return prompt + ownPart(id)
}

// soundPrompt returns the parts of a prompt that does not crash targets. It depends on the id only.
func soundPrompt(id string) string {
	switch n := xxhash.Sum64String(id) % 50; {
	case n == 0:
		return seldomPart + ":60," + ownPart(id)
	case n < 10:
		return sharedPart + ":60," + ownPart(id)
	}
	return sharedPart + ":60," + subjectOf(id) + ":300," + ownPart(id)
}

func subjectOf(id string) string { return fmt.Sprintf("50%x", xxhash.Sum64String("subject "+id)%8) }
func ownPart(id string) string   { return fmt.Sprintf("%x:7", xxhash.Sum64String(id)|1<<63) }

// checkPoisonCrashes checks that the daemons held what crashes targets in time.
func (r *run) checkPoisonCrashes() {
	for _, c := range r.poisons.parts {
		r.checkHeld(c)
	}
	r.checkHeld(r.poisons.request)
}

func (r *run) checkHeld(c *poisonCrashes) {
	late := c.late.Load()
	r.history.check(invariantHeld, late <= maxLateCrashes, "%d runs reached targets after all daemons should have held %s, %d targets crashed in all",
		late, c.what, c.total.Load())
}

// isHeldRefusal reports whether a response refuses a request for crashing targets.
func isHeldRefusal(text string) bool {
	var body struct{ Code string }
	return strings.HasPrefix(text, "{") && json.Unmarshal([]byte(text), &body) == nil && body.Code == "held"
}
