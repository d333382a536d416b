package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	decide "github.com/fireflypath/fireflypath/internal/decide/quarantine"
	"github.com/fireflypath/fireflypath/internal/digest"
	"github.com/fireflypath/fireflypath/internal/peer"
)

const (
	// suspectTime is how long a suspect is listed, forgetAfter how long an entry that is
	// over is remembered: a request that comes again ends one target then, not three.
	suspectTime = 10 * time.Minute
	forgetAfter = 24 * time.Hour
	// maxEntries bounds the list, perBeat one message.
	maxEntries = 1024
	perBeat    = 32
)

// entry is what is known of a request.
type entry struct {
	decide.Verdict
	// Number grows with each change of the entry, whoever makes it.
	Number uint64
	// change is the number of this daemon's change that brought it.
	change uint64
	// stored is true if the store holds it.
	stored bool
}

// order breaks the tie of two keepers that decided at once.
var order = map[decide.State]int{decide.Suspect: 1, decide.Held: 2, decide.Cleared: 3}

// newer is true if an entry replaces what is known.
func (e entry) newer(o entry) bool {
	return e.Number > o.Number || e.Number == o.Number && order[e.State] > order[o.State]
}

// decided lists what was decided here. The caller holds mu.
func (q *Quarantine) decided(v decide.Verdict) {
	old := (*q.list.Load())[v.Digest]
	if v.State == decide.Suspect {
		v.Until = q.deps.Clock.Now().Add(suspectTime)
	}
	if v.State == decide.Cleared {
		v.Until = q.deps.Clock.Now()
	}
	e := entry{Verdict: v, Number: old.Number + 1, stored: old.stored}
	if v.State == decide.Held || old.stored || old.State == decide.Held {
		q.unsaved[v.Digest] = true
		signal(q.unsavedWake)
	}
	q.put(e)
}

// put lists an entry and tells its peers. The caller holds mu.
func (q *Quarantine) put(e entry) {
	now := q.deps.Clock.Now()
	q.changes++
	e.change = q.changes
	next := maps.Clone(*q.list.Load())
	if next[e.Digest].stored {
		e.stored = true
	}
	next[e.Digest] = e
	prune(next, now)
	q.list.Store(&next)
	q.gauge(now, next)
	q.log(e)
}

// prune forgets what is over, and what is over first if there is too much.
func prune(list map[digest.Digest]entry, now time.Time) {
	maps.DeleteFunc(list, func(_ digest.Digest, e entry) bool {
		return now.Sub(e.Until) > forgetAfter || e.State == decide.Suspect && now.After(e.Until)
	})
	for len(list) > maxEntries {
		var first digest.Digest
		for d, e := range list {
			if o, ok := list[first]; !ok || e.Until.Before(o.Until) {
				first = d
			}
		}
		delete(list, first)
	}
}

func (q *Quarantine) gauge(now time.Time, list map[digest.Digest]entry) {
	held, suspects := 0, 0
	for _, e := range list {
		switch {
		case e.State == decide.Suspect:
			suspects++
		case e.State == decide.Held && now.Before(e.Until):
			held++
		}
	}
	q.count.held.Update(float64(held))
	q.count.suspects.Update(float64(suspects))
}

func (q *Quarantine) log(e entry) {
	fields := []zap.Field{zap.Stringer("digest", e.Digest), zap.String("pool", e.Pool), zap.Int("targets", e.Crashes)}
	switch e.State {
	case decide.Suspect:
		q.deps.Log.Info("targets end under a request", fields...)
	case decide.Held:
		q.deps.Log.Warn("request held, it ends targets", append(fields, zap.Time("until", e.Until), zap.Int("times", e.Holds))...)
	case decide.Cleared:
		q.deps.Log.Info("request is free, it was answered or released", fields...)
	}
}

// learn takes in what another daemon or the store knows, and tells whether it is new.
func (q *Quarantine) learn(e entry) bool {
	now := q.deps.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if old := (*q.list.Load())[e.Digest]; !e.newer(old) {
		return false
	}
	q.put(e)
	q.ledger.ApplyVerdict(now, e.Verdict)
	if e.State != decide.Cleared && q.answers.has(now, e.Digest) {
		q.reports.add(now, item{served: e.Digest})
		q.rouse()
	}
	return true
}

// tell adds to a beat what a peer does not know yet.
func (q *Quarantine) tell(to string, b *peer.Beat) {
	news, more := q.news(to)
	for _, e := range news {
		b.Holds = append(b.Holds, peer.Hold{
			Digest: e.Digest.String(), Pool: e.Pool, State: string(e.State), Number: e.Number, Until: e.Until.UnixMilli(),
			Targets: e.Crashes, Times: e.Holds,
		})
	}
	if more {
		q.flush()
	}
}

// news are the entries for the next beat to a peer, which is taken as told of them, and
// whether there are more.
func (q *Quarantine) news(to string) (news []entry, more bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	after := q.told[to]
	if after == q.changes {
		return nil, false
	}
	for _, e := range *q.list.Load() {
		if e.change > after {
			news = append(news, e)
		}
	}
	slices.SortFunc(news, func(a, b entry) int { return cmp.Compare(a.change, b.change) })
	q.told[to] = q.changes
	if len(news) <= perBeat {
		return news, false
	}
	q.told[to] = news[perBeat-1].change
	return news[:perBeat], true
}

// hear takes what a peer tells, and has it passed on.
func (q *Quarantine) hear(_ string, b *peer.Beat) {
	news := false
	for _, h := range b.Holds {
		d, err := digest.Parse(h.Digest)
		if err != nil || order[decide.State(h.State)] == 0 {
			continue
		}
		news = q.learn(entry{Number: h.Number, Verdict: decide.Verdict{
			Digest: d, Pool: h.Pool, State: decide.State(h.State), Until: time.UnixMilli(h.Until), Crashes: h.Targets, Holds: h.Times,
		}}) || news
	}
	if news {
		q.flush()
	}
}

// met begins anew with a daemon: what it was told may be lost.
func (q *Quarantine) met(o fireflypath.Member) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.told, o.Name)
}

// Row is a request that is listed, as operators see it.
type Row struct {
	Digest  string    `json:"digest"`
	Pool    string    `json:"pool"`
	State   string    `json:"state"`
	Targets int       `json:"targets"`
	Times   int       `json:"times"`
	Until   time.Time `json:"until"`
}

// List is what is known, ordered by digest.
func (q *Quarantine) List() []Row {
	out := []Row{}
	for _, e := range *q.list.Load() {
		out = append(out, Row{
			Digest: e.Digest.String(), Pool: e.Pool, State: string(e.State), Targets: e.Crashes, Times: e.Holds, Until: e.Until,
		})
	}
	slices.SortFunc(out, func(a, b Row) int { return cmp.Compare(a.Digest, b.Digest) })
	return out
}

// Release lets a request run again, and reports whether it was held or suspected. What
// it is blamed for is forgotten.
func (q *Quarantine) Release(d digest.Digest) bool {
	q.mu.Lock()
	done := q.free(q.deps.Clock.Now(), d)
	q.mu.Unlock()
	if done {
		q.flush()
		q.rouse()
	}
	return done
}
