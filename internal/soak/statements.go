package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// namedLimit is the rate limit in requests per second that a target names, for limitTime.
	namedLimit = 4.0
	limitTime  = 7 * time.Second
	// limitWindow is the length of the spans in which the limit is checked, from limitSettleTime
	// after it was first named. A span may hold limitOvershoot times what the limit allows and
	// limitSlack requests more.
	limitWindow     = 4 * time.Second
	limitSettleTime = 3 * time.Second
	limitOvershoot  = 1.5
	limitSlack      = 5
	// statementDelay is how long after an answer a daemon need not keep what it says.
	statementDelay = 500 * time.Millisecond
	// maxStatementPause is the longest time between two statements of targets.
	maxStatementPause = 3 * time.Second
)

// statementLog records which daemons have received a target's statements, and the requests that
// they sent it since.
type statementLog struct {
	mu sync.Mutex
	// limitedSince is when the target named a limit for the first time, or zero.
	limitedSince time.Time
	// informedAt is when each daemon was first sent the limit; a daemon that had a fault since
	// is not in it.
	informedAt map[*process]time.Time
	// arrivals holds the times of the requests that informed daemons sent.
	arrivals []time.Time
}

// begin starts to record after the target has named a limit.
func (l *statementLog) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limitedSince, l.informedAt, l.arrivals = time.Now(), map[*process]time.Time{}, nil
}

// end stops recording.
func (l *statementLog) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limitedSince = time.Time{}
}

// recordArrival records a request of a daemon. It returns the number of requests within
// limitWindow, or 0 if the limit is not checked yet.
func (l *statementLog) recordArrival(now time.Time, d *process) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limitedSince.IsZero() || d == nil {
		return 0
	}
	if !d.isStable() {
		delete(l.informedAt, d) // a daemon that was stopped or cut off is excused
		return 0
	}
	at, informed := l.informedAt[d]
	if !informed || now.Sub(at) < statementDelay {
		return 0
	}
	l.arrivals = append(l.arrivals, now)
	for l.arrivals[0].Before(now.Add(-limitWindow)) {
		l.arrivals = l.arrivals[1:]
	}
	if now.Sub(l.limitedSince) < limitSettleTime {
		return 0
	}
	return len(l.arrivals)
}

// recordAnswer records that a daemon is sent an answer that names the limit.
func (l *statementLog) recordAnswer(now time.Time, d *process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limitedSince.IsZero() || d == nil {
		return
	}
	if _, informed := l.informedAt[d]; !informed {
		l.informedAt[d] = now
	}
}

// checkLimit checks the rate limit of the target when a request of a daemon arrives.
func (t *target) checkLimit(d *process) {
	if n := t.statements.recordArrival(time.Now(), d); n > 0 {
		allowed := int(limitOvershoot*namedLimit*limitWindow.Seconds()) + limitSlack
		t.history.check(invariantLimited, n <= allowed, "%s got %d requests in %v, allowed %d", t.name, n, limitWindow, allowed)
	}
}

// makeStatements has targets make statements about themselves while faults are injected. Its
// random numbers are its own, so that it does not change the meaning of a seed.
func (r *run) makeStatements(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(r.options.Seed, 2))
	end := time.Now().Add(r.options.Duration)
	var wg sync.WaitGroup
	for time.Now().Before(end) && ctx.Err() == nil {
		wg.Go(func() { r.limitTarget(ctx) })
		sleep(ctx, time.Duration(rnd.Int64N(int64(maxStatementPause))))
	}
	wg.Wait()
}

// limitTarget has the first target that names no limit name one for limitTime.
func (r *run) limitTarget(ctx context.Context) {
	t := r.claimTarget()
	if t == nil {
		return
	}
	t.SetLimit(namedLimit)
	t.statements.begin()
	sleep(ctx, limitTime)
	t.statements.end()
	t.SetLimit(0)
	t.claimed.Store(false)
}

// claimTarget returns a target that makes no statement, or nil if no more than half of the
// targets are left without.
func (r *run) claimTarget() *target {
	r.mu.Lock()
	defer r.mu.Unlock()
	free := 0
	for _, t := range r.targets {
		if !t.claimed.Load() {
			free++
		}
	}
	if 2*free <= len(r.targets) {
		return nil
	}
	for _, t := range r.targets {
		if t.claimed.CompareAndSwap(false, true) {
			return t
		}
	}
	return nil
}
