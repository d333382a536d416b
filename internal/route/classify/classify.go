// Package classify determines the pool of a request and estimates its cost.
package classify

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

const (
	// bytesPerToken is the length of prompt text that counts as one token
	// (docs/PROTOCOLS.md).
	bytesPerToken = 4
	// defaultOutput is the output expected of a call without max_tokens. It is the
	// common default of completions APIs, rounded up to a power of two.
	defaultOutput = 256
	// maxOutput bounds max_tokens; no engine can hold more.
	maxOutput = 1 << 20
	// maxModelName bounds the length of a model's name, because records keep it.
	maxModelName = 256
)

// Classify is the step that reads the body of completions calls.
type Classify struct{}

// New returns the step.
func New() *Classify {
	return &Classify{}
}

// String returns the name of the step.
func (*Classify) String() string {
	return "classify"
}

// Run sets the request's pool, cost and prefix hashes and the call to the target.
func (*Classify) Run(_ context.Context, r *request.Request) error {
	r.Call.ID = r.Work.ID
	r.Call.Method = r.Inbound.Method
	r.Call.IdempotencyKey = r.Inbound.IdempotencyKey
	r.Work.Bytes = len(r.Inbound.Body)
	if r.Inbound.Service != "" {
		return classifyService(r)
	}
	return classifyEngine(r)
}

func classifyService(r *request.Request) error {
	p := r.Catalog.Pool(r.Inbound.Service)
	if p == nil || p.Kind != fireflypath.KindService {
		return refuse(fireflypath.ReasonNoPool, "no service pool has this name")
	}
	r.Call.Path = r.Inbound.ServicePath
	r.Call.Header = r.Inbound.Header
	r.Call.Body = r.Inbound.Body
	r.Work.Cost = fireflypath.Cost{Prompt: 1}
	return setPool(r, p)
}

// body is the body of a completions call; fields that are not used are omitted.
type body struct {
	Model    string    `json:"model"`
	Stream   *bool     `json:"stream"`
	Prompt   *string   `json:"prompt"`
	Messages []message `json:"messages"`
	Max      *int      `json:"max_tokens"`
}

type message struct {
	Content content `json:"content"`
}

// content is the text of a message, given as a string or as a list of parts; parts
// without text are ignored.
type content string

// UnmarshalJSON decodes a string or a list of parts.
func (c *content) UnmarshalJSON(b []byte) error {
	if b[0] == '"' {
		var s string
		err := json.Unmarshal(b, &s)
		*c = content(s)
		return err
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(b, &parts); err != nil {
		return err
	}
	for _, p := range parts {
		*c += content(p.Text)
	}
	return nil
}

func classifyEngine(r *request.Request) error {
	var b body
	if err := json.Unmarshal(r.Inbound.Body, &b); err != nil {
		return refuse(fireflypath.ReasonMalformed, "the body is not a completions call in JSON: "+err.Error())
	}
	p := r.Catalog.PoolByModel(b.Model)
	if p == nil || len(b.Model) > maxModelName {
		return refuse(fireflypath.ReasonNoPool, "no pool serves the model")
	}
	if b.Max != nil && (*b.Max < 0 || *b.Max > maxOutput) {
		return refuse(fireflypath.ReasonMalformed, "max_tokens is out of range")
	}
	text, ok := b.promptText()
	if !ok {
		return refuse(fireflypath.ReasonMalformed, "the body has neither a prompt nor messages")
	}
	if err := requestStream(r, &b); err != nil {
		return err
	}
	r.Call.Path = r.Inbound.Path
	r.Work.Model = b.Model
	r.Work.Cost = estimateCost(&b, text)
	r.Work.Prefix = prefixHashes(text)
	return setPool(r, p)
}

// setPool sets the request's pool if the team may use it.
func setPool(r *request.Request, p *fireflypath.Pool) error {
	if len(r.Team.Pools) > 0 && !slices.Contains(r.Team.Pools, p.Name) {
		return refuse(fireflypath.ReasonForbidden, "the team may not use the pool")
	}
	r.Pool = p
	r.Work.Pool = p.Name
	return nil
}

func estimateCost(b *body, text string) fireflypath.Cost {
	c := fireflypath.Cost{Prompt: max(1, (len(text)+bytesPerToken-1)/bytesPerToken), MaxOutput: defaultOutput}
	if b.Max != nil {
		c.MaxOutput = *b.Max
	}
	return c
}

func refuse(code fireflypath.Reason, detail string) error {
	return &fireflypath.Refusal{Code: code, Detail: detail, Run: fireflypath.RunNo}
}
