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

// errWrongID means that a caller received the answer to another request.
var errWrongID = errors.New("answer belongs to another request")

// Clients sends requests to several daemons in turn, without retries.
type Clients struct {
	clients []*client.Client
	format  Format
	next    atomic.Uint64
}

// NewClients returns a sender for the addresses of daemons, with or without "http://".
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

// CheckAnswer returns an error if a complete response is neither a refusal nor the
// expected answer.
func CheckAnswer(a *client.Answer) error {
	if a.Refusal == nil && a.Status != 200 {
		return errors.Newf("status %d: %.100q", a.Status, a.Body)
	}
	if a.WrongID {
		return errors.Wrap(errWrongID, a.ID)
	}
	return nil
}

// Format converts arrivals to requests.
type Format struct {
	// RunID is unique to the run, which makes the idempotency keys unique.
	RunID string
	// Model is the model of requests to engines.
	Model string
	// Tokens maps teams to bearer tokens; mix.Token is used for other teams.
	Tokens map[string]string
}

// completion is the body of a request to an engine.
type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Request returns the caller's request for an arrival.
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
	// Marshaling a struct of strings and numbers never fails.
	r.Body, _ = json.Marshal(completion{f.Model, a.Prompt(), a.Cost.MaxOutput, true})
	return r
}

func (f Format) token(team string) string {
	if t, ok := f.Tokens[team]; ok {
		return t
	}
	return mix.Token(team)
}
