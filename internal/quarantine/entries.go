package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/poison"
	"github.com/fireflypath/fireflypath/internal/digest"
	"github.com/fireflypath/fireflypath/internal/peer"
)

const (
	// suspectTTL is how long a suspect is kept.
	suspectTTL = 10 * time.Minute
	// retention is how long an entry is kept after its end. While it is kept, a request that
	// is sent again crashes one target before it is held, not three.
	retention = 24 * time.Hour
	// maxEntries limits the entries kept, maxPerHeartbeat those in one heartbeat.
	maxEntries      = 1024
	maxPerHeartbeat = 32
)

// statePrecedence decides between entries of the same version, which arise when two
// coordinators decide at the same time.
var statePrecedence = map[poison.State]int{poison.Suspect: 1, poison.Held: 2, poison.Cleared: 3}

// supersedes reports whether e replaces o.
func (e entry) supersedes(o entry) bool {
	return e.version > o.version || e.version == o.version && statePrecedence[e.State] > statePrecedence[o.State]
}

// recordVerdict stores a verdict made by this daemon. The caller holds mu.
func (q *Quarantine) recordVerdict(v poison.Verdict) {
	old := q.entries.Load().byDigest[v.Digest]
	if v.State == poison.Suspect {
		v.Until = q.deps.Clock.Now().Add(suspectTTL)
	}
	if v.State == poison.Cleared {
		v.Until = q.deps.Clock.Now()
	}
	e := entry{Verdict: v, version: old.version + 1, stored: old.stored}
	if v.State == poison.Held || old.stored || old.State == poison.Held {
		q.unsaved[v.Digest] = true
		notify(q.saveWake)
	}
	q.setEntry(e)
}

// setEntry replaces an entry and marks it for sending to the peers. The caller holds mu.
func (q *Quarantine) setEntry(e entry) {
	now := q.deps.Clock.Now()
	q.lastSeq++
	e.seq = q.lastSeq
	next := maps.Clone(q.entries.Load().byDigest)
	if next[e.Digest].stored {
		e.stored = true
	}
	next[e.Digest] = e
	prune(next, now)
	q.entries.Store(newTable(next))
	q.updateGauges(now, next)
	q.logEntry(e)
}

// prune removes outdated entries, and if there are still too many, those that end first.
func prune(list map[digest.Digest]entry, now time.Time) {
	maps.DeleteFunc(list, func(_ digest.Digest, e entry) bool {
		return now.Sub(e.Until) > retention || e.State == poison.Suspect && now.After(e.Until)
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

// updateGauges sets the gauges of held and suspect requests.
func (q *Quarantine) updateGauges(now time.Time, list map[digest.Digest]entry) {
	held, suspects := 0, 0
	for _, e := range list {
		switch {
		case e.State == poison.Suspect:
			suspects++
		case e.State == poison.Held && now.Before(e.Until):
			held++
		}
	}
	q.metrics.held.Update(float64(held))
	q.metrics.suspects.Update(float64(suspects))
}

// logEntry logs a change of a request's state.
func (q *Quarantine) logEntry(e entry) {
	fields := []zap.Field{zap.Stringer("digest", e.Digest), zap.String("pool", e.Pool), zap.Int("targets", e.Crashes)}
	if e.State != poison.Suspect {
		fields = append(fields, zap.String("kind", string(e.Kind)), zap.Stringers("members", e.Members))
	}
	switch e.State {
	case poison.Suspect:
		q.deps.Log.Info("suspected poison request, targets crashed while running it", fields...)
	case poison.Held:
		q.deps.Log.Warn("poison request held, it crashes targets", append(fields, zap.Time("until", e.Until), zap.Int("times", e.Holds))...)
	case poison.Cleared:
		q.deps.Log.Info("request cleared, it was answered or released", fields...)
	}
}

// mergeEntry applies an entry from another daemon or the store, and reports whether it was
// new.
func (q *Quarantine) mergeEntry(e entry) bool {
	now := q.deps.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if old := q.entries.Load().byDigest[e.Digest]; !e.supersedes(old) {
		return false
	}
	q.setEntry(e)
	q.detector.ApplyVerdict(now, e.Verdict)
	if e.State != poison.Cleared {
		q.reportAnswered(now, e.causes())
	}
	return true
}

// reportAnswered reports which of the causes were answered recently. The caller holds mu.
func (q *Quarantine) reportAnswered(now time.Time, causes []digest.Digest) {
	for _, d := range causes {
		if q.answeredRequests.contains(now, d) || q.answeredParts.contains(now, d) {
			q.reports.add(now, observation{served: d})
			q.wakeStep()
		}
	}
}

// addToHeartbeat adds the entries that a peer has not been sent to a heartbeat.
func (q *Quarantine) addToHeartbeat(to string, b *peer.Heartbeat) {
	unsent, more := q.unsentEntries(to)
	for _, e := range unsent {
		b.QuarantineEntries = append(b.QuarantineEntries, peer.QuarantineEntry{
			Digest: e.Digest.String(), Pool: e.Pool, State: string(e.State), Version: e.version, Until: e.Until.UnixMilli(),
			Crashes: e.Crashes, HoldCount: e.Holds, Members: formatDigests(e.Members), Kind: string(e.Kind),
		})
	}
	if more {
		q.flushPeers()
	}
}

// unsentEntries returns the entries for the next heartbeat to a peer, marks them as sent, and
// reports whether there are more.
func (q *Quarantine) unsentEntries(to string) (unsent []entry, more bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	after := q.sentSeq[to]
	if after == q.lastSeq {
		return nil, false
	}
	for _, e := range q.entries.Load().byDigest {
		if e.seq > after {
			unsent = append(unsent, e)
		}
	}
	slices.SortFunc(unsent, func(a, b entry) int { return cmp.Compare(a.seq, b.seq) })
	q.sentSeq[to] = q.lastSeq
	if len(unsent) <= maxPerHeartbeat {
		return unsent, false
	}
	q.sentSeq[to] = unsent[maxPerHeartbeat-1].seq
	return unsent[:maxPerHeartbeat], true
}

// receiveHeartbeat applies the entries in a peer's heartbeat and forwards new ones.
func (q *Quarantine) receiveHeartbeat(_ string, b *peer.Heartbeat) {
	changed := false
	for _, h := range b.QuarantineEntries {
		d, err := digest.Parse(h.Digest)
		members, ok := parseDigests(h.Members)
		if err != nil || !ok || statePrecedence[poison.State(h.State)] == 0 {
			continue
		}
		changed = q.mergeEntry(entry{version: h.Version, Verdict: poison.Verdict{
			Digest: d, Members: members, Kind: kindOrDefault(h.Kind), Pool: h.Pool, State: poison.State(h.State), Until: time.UnixMilli(h.Until), Crashes: h.Crashes, Holds: h.HoldCount,
		}}) || changed
	}
	if changed {
		q.flushPeers()
	}
}

// formatDigests and parseDigests convert the causes that are held together. parseDigests reports
// false if one of them is malformed.
func formatDigests(digests []digest.Digest) []string {
	var out []string
	for _, d := range digests {
		out = append(out, d.String())
	}
	return out
}

func parseDigests(texts []string) ([]digest.Digest, bool) {
	var out []digest.Digest
	for _, text := range texts {
		d, err := digest.Parse(text)
		if err != nil {
			return nil, false
		}
		out = append(out, d)
	}
	return out, true
}

// kindOrDefault returns the kind of an entry. Older daemons hold only requests and name no kind.
func kindOrDefault(text string) poison.Kind {
	if k := poison.Kind(text); k == poison.KindPart {
		return k
	}
	return poison.KindRequest
}

// peerConnected makes all entries unsent for a peer with a new connection: what was sent on
// the last one may be lost.
func (q *Quarantine) peerConnected(o fireflypath.Member) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.sentSeq, o.Name)
}

// Row is an entry as operators see it.
type Row struct {
	Digest string `json:"digest"`
	// Kind is what is held: a request, or all requests with a part. It is empty for a suspect.
	Kind string `json:"kind"`
	// Members are the causes that are held together, if there are several.
	Members []string  `json:"members,omitempty"`
	Pool    string    `json:"pool"`
	State   string    `json:"state"`
	Targets int       `json:"targets"`
	Times   int       `json:"times"`
	Until   time.Time `json:"until"`
}

// List returns all entries, ordered by digest.
func (q *Quarantine) List() []Row {
	out := []Row{}
	for _, e := range q.entries.Load().byDigest {
		out = append(out, Row{
			Digest: e.Digest.String(), Kind: string(e.Kind), Members: formatDigests(e.Members), Pool: e.Pool, State: string(e.State), Targets: e.Crashes, Times: e.Holds, Until: e.Until,
		})
	}
	slices.SortFunc(out, func(a, b Row) int { return cmp.Compare(a.Digest, b.Digest) })
	return out
}

// Release ends a hold or a suspicion, and reports whether there was one.
func (q *Quarantine) Release(d digest.Digest) bool {
	q.mu.Lock()
	v, done := q.detector.Release(d)
	if e, ok := q.entries.Load().byDigest[d]; ok && e.State != poison.Cleared {
		v, done = e.Verdict, true
		v.State = poison.Cleared
	}
	if done {
		q.recordVerdict(v)
	}
	q.mu.Unlock()
	if done {
		q.flushPeers()
		q.wakeStep()
	}
	return done
}
