package quarantine

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/keeper"
	decide "github.com/fireflypath/fireflypath/internal/decide/quarantine"
	"github.com/fireflypath/fireflypath/internal/digest"
)

const (
	methodReport = "quarantine"
	// reportTime bounds a report, which is made again if it fails.
	reportTime = 250 * time.Millisecond
	// reportAge is how long what was seen is told to a new keeper.
	reportAge = 2 * time.Minute
	// maxReports bounds what is kept to be told, perReport one message.
	maxReports = 512
	perReport  = 128
	// servedEvery is how often it is told that a request was served.
	servedEvery = time.Second
)

// item is one thing that this daemon has seen. One of its fields is set.
type item struct {
	number uint64
	at     time.Time
	loss   *decide.Crash
	served digest.Digest
	alive  string
}

// reports is what this daemon has seen and whom it has told.
type reports struct {
	number uint64
	items  []item
	// acked is up to which number each life of a keeper was told.
	acked map[fireflypath.Member]uint64
}

func newReports() reports {
	return reports{acked: map[fireflypath.Member]uint64{}}
}

func (r *reports) add(now time.Time, i item) {
	r.number++
	i.number, i.at = r.number, now
	r.items = append(r.items, i)
	old := func(i item) bool { return now.Sub(i.at) > reportAge }
	r.items = slices.DeleteFunc(r.items, old)
	if drop := len(r.items) - maxReports; drop > 0 {
		r.items = slices.Delete(r.items, 0, drop)
	}
}

func (r *reports) lost(now time.Time, l decide.Crash) {
	r.add(now, item{loss: &l})
}

// served notes an answer to a request that is listed or that was reported from here, and
// tells whether it did.
func (r *reports) served(now time.Time, d digest.Digest, listed bool) bool {
	if !listed && !slices.ContainsFunc(r.items, func(i item) bool { return i.loss != nil && i.loss.Digest == d }) {
		return false
	}
	r.items = slices.DeleteFunc(r.items, func(i item) bool { return i.loss != nil && i.loss.Digest == d })
	told := func(i item) bool { return i.served == d && now.Sub(i.at) < servedEvery }
	if slices.ContainsFunc(r.items, told) {
		return false
	}
	r.add(now, item{served: d})
	return true
}

// alive takes back that a target has ended if it has answered what was sent to it since,
// and tells whether it did.
func (r *reports) alive(now time.Time, target string, began time.Time) bool {
	wrong := func(i item) bool { return i.loss != nil && i.loss.Target == target && began.After(i.loss.Ended) }
	if !slices.ContainsFunc(r.items, wrong) {
		return false
	}
	r.items = slices.DeleteFunc(r.items, wrong)
	r.add(now, item{alive: target})
	return true
}

// news are the items that a keeper was not told.
func (r *reports) news(k fireflypath.Member) []item {
	acked := r.acked[life(k)]
	i, _ := slices.BinarySearchFunc(r.items, acked+1, func(i item, n uint64) int { return int(i.number) - int(n) })
	return r.items[i:min(len(r.items), i+perReport)]
}

// life names one life of a daemon: the next one knows nothing of what this was told.
func life(m fireflypath.Member) fireflypath.Member {
	return fireflypath.Member{Name: m.Name, Incarnation: m.Incarnation}
}

// message is a report on its way. Times are ages, in milliseconds: the clocks of hosts
// differ.
type message struct {
	Losses []loss   `json:"l,omitempty"`
	Served []string `json:"s,omitempty"`
	Alive  []string `json:"a,omitempty"`
}

type loss struct {
	Digest  string `json:"d"`
	Pool    string `json:"p"`
	Target  string `json:"t"`
	Targets int    `json:"n"`
	Began   int64  `json:"b"`
	Ended   int64  `json:"e"`
}

func (m *message) add(now time.Time, i item) {
	switch {
	case i.loss != nil:
		m.Losses = append(m.Losses, loss{
			Digest: i.loss.Digest.String(), Pool: i.loss.Pool, Target: i.loss.Target, Targets: i.loss.PoolSize,
			Began: now.Sub(i.loss.Started).Milliseconds(), Ended: now.Sub(i.loss.Ended).Milliseconds(),
		})
	case i.alive != "":
		m.Alive = append(m.Alive, i.alive)
	default:
		m.Served = append(m.Served, i.served.String())
	}
}

// keepers are the daemons that decide.
func (q *Quarantine) keepers() []fireflypath.Member {
	if q.deps.Members == nil {
		return []fireflypath.Member{{Name: q.deps.Self}}
	}
	return keeper.Of(q.deps.Members.Live(), keepers)
}

// place is a daemon's place among the keepers; one that is none comes after them.
func place(ks []fireflypath.Member, name string) int {
	i := slices.IndexFunc(ks, func(m fireflypath.Member) bool { return m.Name == name })
	if i < 0 {
		return len(ks)
	}
	return i
}

// report tells the keepers what they do not know yet, and whether some is left to tell.
func (q *Quarantine) report(ctx context.Context, ks []fireflypath.Member) bool {
	var wg conc.WaitGroup
	for _, k := range ks {
		wg.Go(func() { q.reportTo(ctx, k) })
	}
	wg.Wait()
	q.mu.Lock()
	defer q.mu.Unlock()
	for m := range q.reports.acked {
		if !slices.ContainsFunc(ks, func(k fireflypath.Member) bool { return life(k) == m }) {
			delete(q.reports.acked, m)
		}
	}
	return slices.ContainsFunc(ks, func(k fireflypath.Member) bool { return len(q.reports.news(k)) > 0 })
}

// reportTo makes one report.
func (q *Quarantine) reportTo(ctx context.Context, k fireflypath.Member) {
	now := q.deps.Clock.Now()
	var m message
	q.mu.Lock()
	news := q.reports.news(k)
	last := uint64(0)
	for _, i := range news {
		m.add(now, i)
		last = i.number
	}
	q.mu.Unlock()
	if last == 0 {
		return
	}
	if k.Name == q.deps.Self {
		q.take(m)
	} else {
		ctx, cancel := context.WithTimeout(ctx, reportTime)
		defer cancel()
		var none struct{}
		if err := q.deps.Peers.Call(ctx, k, methodReport, m, &none); err != nil {
			q.count.failed.Inc(1)
			return // told again with the next step
		}
	}
	q.mu.Lock()
	q.reports.acked[life(k)] = last
	q.mu.Unlock()
}

// handle takes a report of another daemon.
func (q *Quarantine) handle(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var m message
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, errors.Wrap(err, "decode report")
	}
	q.take(m)
	q.rouse()
	return struct{}{}, nil
}

// take books a report.
func (q *Quarantine) take(m message) {
	now := q.deps.Clock.Now()
	q.mu.Lock()
	q.judged = false
	for _, l := range m.Losses {
		if d, err := digest.Parse(l.Digest); err == nil {
			q.ledger.RecordCrash(now, l.decoded(now, d))
		}
	}
	for _, target := range m.Alive {
		q.ledger.RetractCrash(target)
	}
	news := false
	for _, text := range m.Served {
		if d, err := digest.Parse(text); err == nil {
			news = q.free(now, d) || news
		}
	}
	q.mu.Unlock()
	if news {
		q.flush()
	}
}

func (l loss) decoded(now time.Time, d digest.Digest) decide.Crash {
	return decide.Crash{
		Digest: d, Pool: l.Pool, Target: l.Target, PoolSize: l.Targets,
		Started: now.Add(-time.Duration(l.Began) * time.Millisecond),
		Ended:   now.Add(-time.Duration(l.Ended) * time.Millisecond),
	}
}

// free has a request known as healthy if it is known as anything else. The caller holds mu.
func (q *Quarantine) free(now time.Time, d digest.Digest) bool {
	v, known := q.ledger.RecordSuccess(now, d)
	if e, ok := (*q.list.Load())[d]; ok && e.State != decide.Cleared {
		v, known = e.Verdict, true
		v.State = decide.Cleared
	}
	if known {
		q.decided(v)
	}
	return known
}
