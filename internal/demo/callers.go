package demo

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/fake/engine"
	"github.com/fireflypath/fireflypath/internal/fake/service"
	"github.com/fireflypath/fireflypath/internal/load"
	"github.com/fireflypath/fireflypath/internal/mix"
	"github.com/fireflypath/fireflypath/pkg/client"
)

// errMismatch means that an answer does not belong to its request.
var errMismatch = errors.New("answer does not belong to the request")

// callers behave like real callers behind a load balancer: they use the daemons in
// round-robin order, and retry a failed request on another daemon if it was not sent, is
// idempotent or carries an idempotency key.
type callers struct {
	format  load.Format
	clients []*client.Client

	mu   sync.Mutex
	next int
	// tiers maps the request IDs that callers received to their tiers.
	tiers map[string]string
	// notRun holds the IDs of refusals that state that the request did not run.
	notRun []string
}

func newCallers(d *Demo) *callers {
	c := &callers{format: load.Format{RunID: d.run, Model: mix.Model}, tiers: make(map[string]string)}
	for _, x := range d.daemons {
		c.clients = append(c.clients, client.New(x.CallerAddr()))
	}
	return c
}

// Send implements load.Sender.
func (c *callers) Send(ctx context.Context, a mix.Arrival, first func()) (*fireflypath.Refusal, error) {
	r := c.format.Request(a)
	r.OnFirstByte = first
	var err error
	start := c.nextIndex()
	for n := range 2 * len(c.clients) {
		var got *client.Answer
		got, err = c.clients[(start+n)%len(c.clients)].Do(ctx, r)
		c.record(a, got)
		if err == nil {
			return got.Refusal, checkAnswer(a, r, got)
		}
		if errors.Is(err, client.ErrUnsent) || a.Idempotent || r.IdempotencyKey != "" {
			continue
		}
		return nil, err
	}
	return nil, err
}

// nextIndex returns the index of the daemon for the next request. A caller that retries
// continues with the daemons after it: with a shared round-robin index, concurrent
// requests could make all retries of one caller hit dead daemons.
func (c *callers) nextIndex() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return c.next
}

// record stores what a caller received, for the audit.
func (c *callers) record(a mix.Arrival, got *client.Answer) {
	if got == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tiers[got.ID] = a.Tier
	if f := got.Refusal; f != nil && f.Run == fireflypath.RunNo {
		c.notRun = append(c.notRun, f.ID)
	}
}

// checkAnswer compares an answer with the one that the fakes give to the request.
func checkAnswer(a mix.Arrival, r *client.Request, got *client.Answer) error {
	err := load.CheckAnswer(got)
	switch {
	case got.Refusal != nil, err != nil:
		return err
	case a.Pool == mix.Models && got.Text != engine.ExpectedText(a.Prompt(), a.Cost.MaxOutput):
		return errors.Wrapf(errMismatch, "%s: %d tokens of %d", got.ID, got.Tokens, a.Cost.MaxOutput)
	case a.Pool == mix.Models:
		return nil
	}
	var e service.Echo
	if err := json.Unmarshal(got.Body, &e); err != nil {
		return errors.Wrap(err, got.ID)
	}
	if e.Key != r.IdempotencyKey || e.Body != string(r.Body) {
		return errors.Wrap(errMismatch, got.ID)
	}
	return nil
}
