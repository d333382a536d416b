package load

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/mix"
	"github.com/fireflypath/fireflypath/pkg/client"
)

// errWrongID means that a caller received another request's answer.
var errWrongID = errors.New("answer belongs to another request")

// Clients spreads requests over daemons by turns and sends each once.
type Clients struct {
	clients []*client.Client
	format  Format
	next    atomic.Uint64
}

// NewClients makes a sender for the daemons' addresses, with or without http:// before.
func NewClients(addrs []string, f Format) *Clients {
	c := &Clients{format: f}
	for _, a := range addrs {
		c.clients = append(c.clients, client.New(strings.TrimRight(strings.TrimPrefix(a, "http://"), "/")))
	}
	return c
}

// Send implements Sender.
func (c *Clients) Send(ctx context.Context, a mix.Arrival, first func()) (*fireflypath.Refusal, error) {
	r := c.format.Request(a)
	r.OnFirstByte = first
	n := c.next.Add(1)
	got, err := c.clients[n%uint64(len(c.clients))].Do(ctx, r)
	if err != nil {
		return nil, err
	}
	return got.Refusal, CheckAnswer(got)
}

// CheckAnswer says what is wrong with an answer that is neither refused nor cut.
func CheckAnswer(a *client.Answer) error {
	if a.Refusal == nil && a.Status != 200 {
		return errors.Newf("status %d: %.100q", a.Status, a.Body)
	}
	if a.WrongID {
		return errors.Wrap(errWrongID, a.ID)
	}
	return nil
}

// Format turns arrivals into requests.
type Format struct {
	// RunID is unique to the run, so that keys are.
	RunID string
	// Model is named in requests to engines.
	Model string
	// Tokens are the teams' bearer tokens; mix.Token is taken for others.
	Tokens map[string]string
}

// completion is the body of a request to an engine.
type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Request is the caller's request for an arrival.
func (f Format) Request(a mix.Arrival) *client.Request {
	r := &client.Request{Token: f.token(a.Team), Tier: a.Tier, Deadline: a.Deadline}
	if a.Pool == mix.Packets {
		r.Path = fmt.Sprintf("/services/%s/deliveries/%d", a.Pool, a.Seq)
		r.Body = []byte(a.Prompt())
		r.NotIdempotent = !a.Idempotent
		r.IdempotencyKey = fmt.Sprintf("%s-%d", f.RunID, a.Seq)
		return r
	}
	r.Path = "/v1/completions"
	// A struct of text and numbers can always be marshalled.
	r.Body, _ = json.Marshal(completion{f.Model, a.Prompt(), a.Cost.MaxOutput, true})
	return r
}

func (f Format) token(team string) string {
	if t, ok := f.Tokens[team]; ok {
		return t
	}
	return mix.Token(team)
}
