package classify_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route/catalog"
	"github.com/fireflypath/fireflypath/internal/route/classify"
	"github.com/fireflypath/fireflypath/internal/route/request"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

// The call to an engine always requests a stream, whatever the caller requested,
// and is otherwise passed on unchanged.
func TestCallRequestsStream(t *testing.T) {
	tests := []struct {
		name, body string
		stream     bool
		cost       fireflypath.Cost
	}{
		{"no stream", `{"model":"m","prompt":"hello","max_tokens":3}`, false, fireflypath.Cost{Prompt: 2, MaxOutput: 3}},
		{"stream", `{"model":"m","prompt":"hello","stream":true}`, true, fireflypath.Cost{Prompt: 2, MaxOutput: 256}},
		{"stream false", `{"stream":false,"model":"m","prompt":"","n":1}`, false, fireflypath.Cost{Prompt: 1, MaxOutput: 256}},
		{"stream null", `{"model":"m","prompt":"x","stream":null }`, false, fireflypath.Cost{Prompt: 1, MaxOutput: 256}},
		{"chat", `{"model":"m","messages":[{"content":"abcd"},{"content":"e"}]} `, false, fireflypath.Cost{Prompt: 2, MaxOutput: 256}},
		{"chat of parts", `{"model":"m","messages":[{"content":[{"type":"text","text":"abcd"},{"type":"image"}]}]}`, false, fireflypath.Cost{Prompt: 1, MaxOutput: 256}},
		{"stream in the prompt", `{"model":"m","prompt":"\"stream\":false"}`, false, fireflypath.Cost{Prompt: 4, MaxOutput: 256}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newRequest(tt.body)
			is.NoErr(classify.New().Run(t.Context(), r))
			is.Equal(r.Call.Stream, tt.stream)
			is.Equal(r.Work.Cost, tt.cost)
			var sent, received map[string]any
			is.NoErr(json.Unmarshal(r.Call.Body, &sent))
			is.NoErr(json.Unmarshal([]byte(tt.body), &received))
			is.Equal(sent["stream"], true)
			received["stream"] = true
			is.Equal(sent, received)
		})
	}
}

// The prefix hashes of a request cover full cache blocks only.
func TestPrefixHashesCoverFullBlocks(t *testing.T) {
	is := is.New(t)
	text := strings.Repeat("0123456789abcdef", 40) // two and a half blocks
	r := newRequest(`{"model":"m","prompt":"` + text + `"}`)
	is.NoErr(classify.New().Run(t.Context(), r))
	is.Equal(r.Work.Prefix, []uint64{xxhash.Sum64String(text[:256]), xxhash.Sum64String(text[:512])})
}

func newRequest(body string) *request.Request {
	cfg := testkit.Config(nil, nil)
	return &request.Request{
		Config: cfg, Catalog: catalog.New(cfg), Team: &cfg.Teams[0],
		Inbound: request.Inbound{Method: "POST", Path: "/v1/completions", Body: []byte(body)},
	}
}
