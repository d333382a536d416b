package gate

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/http1"
)

// maxLoggedTargets bounds the targets whose notices are kept for the log.
const maxLoggedTargets = 4096

// noticeLog keeps which targets named a rate limit in their last answer, which said that they are
// brittle and which announced that they are leaving, so that the log shows when that begins and ends.
type noticeLog struct {
	limited, brittle, leaving targetSet
}

// targetSet is a set of targets that may forget some of them. Its zero value is empty.
type targetSet struct {
	mu         sync.Mutex
	identities map[string]bool
}

// set adds or removes a target. It reports whether that changes the set.
func (s *targetSet) set(t fireflypath.Target, in bool) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !in && len(s.identities) == 0 {
		return false
	}
	id := t.Identity()
	before := s.identities[id]
	if !in {
		delete(s.identities, id)
		return before
	}
	if s.identities == nil || len(s.identities) >= maxLoggedTargets {
		s.identities = map[string]bool{}
	}
	s.identities[id] = true
	return !before
}

// maxBackoff bounds the time for which a target is left alone on its own word.
const maxBackoff = 10 * time.Minute

// requestedBackoff returns for how long the target wants no more requests of this daemon. It says so
// when it turns a request away.
func requestedBackoff(a *http1.Response) time.Duration {
	if a.Status != http.StatusServiceUnavailable && a.Status != http.StatusTooManyRequests {
		return 0
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(a.Header.Get("Retry-After")), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxBackoff.Seconds()) * float64(time.Second))
}

// observeTarget passes what the target says of itself in the header of an answer to the pools.
func (g *Gate) observeTarget(att *attempt, a *http1.Response) {
	if a.Status == http.StatusMisdirectedRequest {
		return // another target answers at this address, and speaks of itself
	}
	n := g.decodeNotice(a)
	g.logNotice(att, n)
	authentic := a.Header.Get(g.headers.Signature) != "" || a.Header.Get(g.headers.NotRun) != ""
	if n != (fireflypath.Notice{}) || authentic { // only an authentic answer ends a limit by saying nothing
		g.deps.Pools.Observe(fireflypath.Event{
			Kind: fireflypath.EventNotice, Target: att.target.Name, Incarnation: att.target.Incarnation, Cached: -1,
			Sent: att.Sent, Notice: n,
		})
	}
	g.observeLoad(att, a)
}

// decodeNotice returns what the target declares in the header of an answer.
func (g *Gate) decodeNotice(a *http1.Response) fireflypath.Notice {
	limit, limited := g.deps.Codec.Limit(a.Header.Get(g.headers.Limit))
	maxTurnedAway, brittle := g.deps.Codec.Brittle(a.Header.Get(g.headers.Brittle))
	return fireflypath.Notice{
		Limit: limit, Limited: limited, Brittle: brittle, MaxTurnedAway: maxTurnedAway,
		Leaving: g.deps.Codec.Leaving(a.Header.Get(g.headers.Leaving)), Backoff: requestedBackoff(a),
	}
}

// logNotice counts what a target declares, and logs what it has not declared before.
func (g *Gate) logNotice(att *attempt, n fireflypath.Notice) {
	if n.Limited {
		g.metrics.limitsNamed.Inc(1)
	}
	if g.noticeLog.limited.set(att.target, n.Limited) {
		g.deps.Log.Info("target's rate limit changed", zap.String("target", att.target.Name), zap.String("pool", att.target.Pool),
			zap.Bool("limited", n.Limited), zap.Float64("per_second", n.Limit))
	}
	if n.Brittle {
		g.metrics.brittleNamed.Inc(1)
	}
	if g.noticeLog.brittle.set(att.target, n.Brittle) {
		g.deps.Log.Info("target's tolerance of overload changed", zap.String("target", att.target.Name), zap.String("pool", att.target.Pool),
			zap.Bool("brittle", n.Brittle), zap.Int("max_turned_away_per_second", n.MaxTurnedAway))
	}
	if n.Leaving {
		g.metrics.leavingNamed.Inc(1)
		if g.noticeLog.leaving.set(att.target, true) {
			g.deps.Log.Info("target announced in an answer that it is leaving", zap.String("target", att.target.Name), zap.String("pool", att.target.Pool))
		}
	}
	if n.Backoff > 0 {
		g.metrics.backoffsAsked.Inc(1)
		g.deps.Log.Info("target turned a request away and asked for a backoff", zap.String("request", att.Work.ID),
			zap.String("target", att.target.Name), zap.String("pool", att.target.Pool), zap.Duration("backoff", n.Backoff))
	}
}

// observeLoad passes the load that the target reports in its answer to the pools.
func (g *Gate) observeLoad(att *attempt, a *http1.Response) {
	l, ok := g.deps.Codec.Load(a.Header.Get(g.headers.Load))
	if !ok {
		return
	}
	g.deps.Pools.Observe(fireflypath.Event{
		Kind: fireflypath.EventReport, Target: att.target.Name, Incarnation: att.target.Incarnation, Cached: -1,
		Report: fireflypath.Report{MeasuredAt: g.deps.Clock.Now(), Running: l.Running, Waiting: l.Waiting, MaxRunning: l.Slots},
	})
}
