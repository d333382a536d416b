package origins

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/origin"
	"github.com/fireflypath/fireflypath/internal/logs"
)

const (
	// batchDelay is how long records are collected before they are sent. The first event of a stream
	// takes longer.
	batchDelay = 10 * time.Millisecond
	// sendTimeout is how long a daemon may take to receive records before another one gets them.
	sendTimeout = 300 * time.Millisecond
	// maxSending is the number of batches of records that are sent at the same time. A holder that does not
	// answer delays its own batch only.
	maxSending = 32
)

// runSender sends records in batches. A batch does not wait for an earlier one: its records would be lost
// with this daemon while a holder that has ended is waited for.
func (r *Registry) runSender(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	sending := make(chan struct{}, maxSending)
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		select {
		case <-ctx.Done():
			return
		case <-r.deps.Clock.After(batchDelay):
		}
		select {
		case <-ctx.Done():
			return
		case sending <- struct{}{}:
		}
		records := r.takeRecords()
		wg.Go(func() {
			r.sendRecords(ctx, records)
			<-sending
		})
	}
}

// delivery is a message for one daemon.
type delivery struct {
	to      fireflypath.Member
	message recordMessage
}

// takeRecords returns the collected records.
func (r *Registry) takeRecords() map[recordID]origin.Origin {
	r.mu.Lock()
	defer r.mu.Unlock()
	records := r.outbox
	r.outbox = map[recordID]origin.Origin{}
	return records
}

// sendRecords sends records to their holders. Those that a holder does not take go to the next candidate.
func (r *Registry) sendRecords(ctx context.Context, records map[recordID]origin.Origin) {
	members := r.deps.Members.Live()
	first, missing := map[string]*delivery{}, map[recordID]int{}
	for id, o := range records {
		candidates := origin.Candidates(members, r.deps.Self, id.key)
		for _, m := range candidates[:min(len(candidates), origin.Copies(len(members)))] {
			addDelivery(first, m, id, o)
		}
	}
	for _, d := range r.deliver(ctx, first) {
		d.message.each(func(id recordID, _ origin.Origin) { missing[id]++ })
	}
	if len(missing) == 0 || ctx.Err() != nil {
		return
	}
	second := map[string]*delivery{}
	for id, n := range missing {
		candidates := origin.Candidates(members, r.deps.Self, id.key)
		from := min(origin.Copies(len(members)), len(candidates))
		for _, m := range candidates[from:min(from+n, len(candidates))] {
			addDelivery(second, m, id, records[id])
		}
	}
	r.deliver(ctx, second)
}

func addDelivery(all map[string]*delivery, to fireflypath.Member, id recordID, o origin.Origin) {
	d := all[to.Name]
	if d == nil {
		d = &delivery{to: to}
		all[to.Name] = d
	}
	d.message.add(id, o)
}

// deliver sends messages at the same time and returns those that failed.
func (r *Registry) deliver(ctx context.Context, all map[string]*delivery) []*delivery {
	failed := make(chan *delivery, len(all))
	var wg conc.WaitGroup
	for _, d := range all {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, sendTimeout)
			defer cancel()
			var ignored struct{}
			if err := r.deps.Peers.Call(ctx, d.to, methodRecord, d.message, &ignored); err != nil {
				r.metrics.sendFailures.Inc(1)
				r.deps.Log.Debug("records of streams not sent", zap.String("to", d.to.Name), logs.Err(err))
				failed <- d
				return
			}
			r.metrics.sent.Inc(1)
		})
	}
	wg.Wait()
	close(failed)
	var out []*delivery
	for d := range failed {
		out = append(out, d)
	}
	return out
}

// handleRecord receives records of another daemon.
func (r *Registry) handleRecord(_ context.Context, from string, params json.RawMessage) (any, error) {
	var m recordMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, errors.Wrap(err, "decode records of streams")
	}
	now := r.deps.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	m.each(func(id recordID, o origin.Origin) { r.record(now, id, from, o) })
	return struct{}{}, nil
}
