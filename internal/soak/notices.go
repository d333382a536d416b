package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fireflypath/fireflypath/internal/ratewindow"
)

const (
	// namedLimit is the rate limit in requests per second that a target names, for limitTime.
	namedLimit = 4.0
	limitTime  = 7 * time.Second
	// limitSettleTime is how long after the limit was first named it is not checked.
	limitSettleTime = 3 * time.Second
	// announceTime is how long a target says in its answers only that it is leaving.
	announceTime = 4 * time.Second
	// turnAwayTime is how long a target turns requests away, backoffTime the time without more that
	// it asks for. It may get maxDuringBackoff requests of each daemon in that time.
	turnAwayTime     = 400 * time.Millisecond
	backoffTime      = 3 * time.Second
	maxDuringBackoff = 2
	// noticeDelay is how long after an answer a daemon need not keep its notice.
	noticeDelay = 500 * time.Millisecond
	// maxNoticePause is the longest time between two notices of targets.
	maxNoticePause = 3 * time.Second
)

// noticeLog records which notices of a target daemons received, and the requests that
// they sent it since.
type noticeLog struct {
	mu sync.Mutex
	// lostBetween reports whether answers may have been lost between two times.
	lostBetween func(from, to time.Time) bool
	// limitedSince is when the target named its limit for the first time, or zero.
	limitedSince time.Time
	// daemons holds what each daemon received since it last had a fault.
	daemons map[*process]*informedDaemon
	// limited counts the requests of daemons that know the limit.
	limited ratewindow.Counter
	// restoredAt is when the target last ceased to lose packets. What was sent before may arrive
	// seconds later.
	restoredAt time.Time
}

// setRestored records that the target ceases to lose packets.
func (l *noticeLog) setRestored(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restoredAt = now
}

// informedDaemon holds when a daemon first received each notice.
type informedDaemon struct {
	limitAt, leavingAt time.Time
	// backoffAt is when the daemon was last asked for a backoff, backoffEnd the end of that time, and
	// duringBackoff counts its requests in between.
	backoffAt, backoffEnd time.Time
	duringBackoff         int
}

// setLimited starts or ends the check of the limit.
func (l *noticeLog) setLimited(since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limitedSince, l.limited = since, ratewindow.Counter{}
	for _, informed := range l.daemons {
		informed.limitAt = time.Time{}
	}
}

// informed returns what the daemon received, or nil if it had a fault recently: a daemon that was
// stopped, paused or cut off is excused. The caller holds mu.
func (l *noticeLog) informed(d *process) *informedDaemon {
	if d == nil {
		return nil
	}
	if !d.isStable() {
		delete(l.daemons, d)
		return nil
	}
	l.forgetLost(l.daemons[d])
	if l.daemons[d] == nil {
		if l.daemons == nil {
			l.daemons = map[*process]*informedDaemon{}
		}
		l.daemons[d] = &informedDaemon{}
	}
	return l.daemons[d]
}

// forgetLost forgets the notices whose answers may have been lost on the way: the daemon does not
// know of them. The caller holds mu.
func (l *noticeLog) forgetLost(d *informedDaemon) {
	if d == nil {
		return
	}
	lost := func(at time.Time) bool { return !at.IsZero() && l.lostBetween(at, at.Add(noticeDelay)) }
	if lost(d.limitAt) {
		d.limitAt = time.Time{}
	}
	if lost(d.leavingAt) {
		d.leavingAt = time.Time{}
	}
	if lost(d.backoffAt) {
		d.backoffAt, d.backoffEnd = time.Time{}, time.Time{}
	}
}

// arrival is what a request that reaches a target means for the target's notices.
type arrival struct {
	// inWindow is the number of requests within the last span, or 0 if the limit is not checked.
	inWindow int
	// leaving is how long before the request was sent its daemon received the notice that the target is
	// leaving, or 0.
	leaving time.Duration
	// duringBackoff is the number of requests of its daemon during the backoff that it was asked for, or 0.
	duringBackoff int
}

// recordArrival records a request that a caller sent to a daemon at the given time.
func (l *noticeLog) recordArrival(now, sentAt time.Time, d *process) (a arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	informed := l.informed(d)
	if informed == nil {
		return a
	}
	if !informed.leavingAt.IsZero() {
		a.leaving = sentAt.Sub(informed.leavingAt)
	}
	// What was sent while the target lost packets was on its way then, and arrives late.
	delayed := sentAt.Before(l.restoredAt)
	if !delayed && now.Before(informed.backoffEnd) && now.Sub(informed.backoffAt) >= noticeDelay {
		informed.duringBackoff++
		a.duringBackoff = informed.duringBackoff
	}
	if informed.limitAt.IsZero() || now.Sub(informed.limitAt) < noticeDelay {
		return a
	}
	n := l.limited.Add(now)
	if now.Sub(l.limitedSince) >= limitSettleTime {
		a.inWindow = n
	}
	return a
}

// recordAnswer records that a daemon is sent an answer with the target's notices.
func (l *noticeLog) recordAnswer(now time.Time, d *process, leaving bool, backoff time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	informed := l.informed(d)
	if informed == nil {
		return
	}
	if !l.limitedSince.IsZero() && informed.limitAt.IsZero() {
		informed.limitAt = now
	}
	if leaving && informed.leavingAt.IsZero() {
		informed.leavingAt = now
	}
	if backoff > 0 {
		informed.backoffAt, informed.backoffEnd, informed.duringBackoff = now, now.Add(backoff), 0
	}
}

// checkNotices checks the target's notices when a request of a daemon arrives.
func (t *target) checkNotices(id string, d *process, sentAt time.Time) {
	a := t.notices.recordArrival(time.Now(), sentAt, d)
	if a.inWindow > 0 {
		allowed := ratewindow.Allowed(namedLimit)
		t.history.check(invariantLimited, a.inWindow <= allowed, "%s got %d requests in %v, allowed %d", t.name, a.inWindow, ratewindow.Length, allowed)
	}
	if a.leaving > 0 {
		t.history.check(invariantDrained, a.leaving <= drainTime, "%s reached %s from %s, sent %v after an answer said that it is leaving", id, t.name, d.name, a.leaving)
	}
	if a.duringBackoff > 0 {
		t.history.check(invariantBackoff, a.duringBackoff <= maxDuringBackoff, "%s reached %s from %s, request %d during its backoff", id, t.name, d.name, a.duringBackoff)
	}
}

// announceNotices has targets announce notices while faults are injected. Its
// random numbers are its own, so that it does not change the meaning of a seed.
func (r *run) announceNotices(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(r.options.Seed, 2))
	notices := []func(context.Context, *target){r.limitTarget, r.announceLeaving, r.turnRequestsAway}
	end := time.Now().Add(r.options.Duration)
	var wg sync.WaitGroup
	for i := rnd.IntN(len(notices)); time.Now().Before(end) && ctx.Err() == nil; i++ {
		if t := r.claimTarget(); t != nil {
			wg.Go(func() { notices[i%len(notices)](ctx, t) })
		}
		sleep(ctx, time.Duration(rnd.Int64N(int64(maxNoticePause))))
	}
	wg.Wait()
}

// limitTarget has a target name a rate limit for limitTime.
func (r *run) limitTarget(ctx context.Context, t *target) {
	t.notices.setLimited(time.Now())
	t.SetLimit(namedLimit)
	sleep(ctx, limitTime)
	t.notices.setLimited(time.Time{})
	t.SetLimit(0)
	t.claimed.Store(false)
}

// announceLeaving has a target say in its answers that it is leaving. Its registration says so
// announceTime later, and it is replaced.
func (r *run) announceLeaving(ctx context.Context, t *target) {
	if !r.removeTarget(t) {
		return // a fault has removed it
	}
	t.SetLeaving()
	sleep(ctx, announceTime)
	r.retire(ctx, t)
}

// turnRequestsAway has a target turn requests away for turnAwayTime and ask for a backoff.
func (r *run) turnRequestsAway(ctx context.Context, t *target) {
	t.SetBackoff(backoffTime)
	sleep(ctx, turnAwayTime)
	t.SetBackoff(0)
	sleep(ctx, backoffTime)
	r.history.check(invariantBackoff, true, "")
	t.claimed.Store(false)
}

// claimTarget returns a target for a notice, or nil if no more than half of the targets are
// left without one.
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
