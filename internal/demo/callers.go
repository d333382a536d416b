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

// errWrong means that an answer is not the one to the request.
var errWrong = errors.New("answer is another than the request's")

// callers behave like real ones behind a balancer: they take the daemons by
// turns, and try another daemon if one is gone and a second run does no harm or
// is kept off by a key.
type callers struct {
	format  load.Format
	clients []*client.Client

	mu   sync.Mutex
	next int
	// tiers maps the ids that callers were told to their tiers.
	tiers map[string]string
	// notRun are the ids of refusals that say that the request did not run.
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
	start := c.turn()
	for n := range 2 * len(c.clients) {
		var got *client.Answer
		got, err = c.clients[(start+n)%len(c.clients)].Do(ctx, r)
		c.note(a, got)
		if err == nil {
			return got.Refusal, check(a, r, got)
		}
		if errors.Is(err, client.ErrUnsent) || a.Idempotent || r.IdempotencyKey != "" {
			continue
		}
		return nil, err
	}
	return nil, err
}

// turn is the daemon that the balancer gives to the next request. A caller that
// sends again goes on from there: were the turns shared, a busy balancer could
// send one caller to dead daemons only.
func (c *callers) turn() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return c.next
}

// note keeps what a caller learned, for the audit.
func (c *callers) note(a mix.Arrival, got *client.Answer) {
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

// check compares an answer with the one that the stand-ins give to the request.
func check(a mix.Arrival, r *client.Request, got *client.Answer) error {
	err := load.CheckAnswer(got)
	switch {
	case got.Refusal != nil, err != nil:
		return err
	case a.Pool == mix.Models && got.Text != engine.ExpectedText(a.Prompt(), a.Cost.MaxOutput):
		return errors.Wrapf(errWrong, "%s: %d tokens of %d", got.ID, got.Tokens, a.Cost.MaxOutput)
	case a.Pool == mix.Models:
		return nil
	}
	var e service.Echo
	if err := json.Unmarshal(got.Body, &e); err != nil {
		return errors.Wrap(err, got.ID)
	}
	if e.Key != r.IdempotencyKey || e.Body != string(r.Body) {
		return errors.Wrap(errWrong, got.ID)
	}
	return nil
}
