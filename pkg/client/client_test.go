package client_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/pkg/client"
)

const (
	token   = "id: 1\ndata: {\"id\":\"d.1\",\"choices\":[{\"text\":\"one\"}]}\n\n"
	refusal = `{"code":"target-failed","reason":"it died","run":"unknown","retry_after_ms":1500,"request":"d.1"}`
)

func TestDo(t *testing.T) {
	refused := &fireflypath.Refusal{
		Code: fireflypath.ReasonTarget, Detail: "it died", Run: fireflypath.RunUnknown,
		RetryAfter: 1500e6, RetryMS: 1500, ID: "d.1",
	}
	tests := []struct {
		name   string
		status int
		kind   string
		body   string
		want   client.Answer
		err    error
	}{
		{"plain", 200, "text/plain", "hi", client.Answer{Body: []byte("hi")}, nil},
		{"service error", 500, "text/plain", "oh", client.Answer{Body: []byte("oh")}, nil},
		{"refusal", 429, "application/json", refusal, client.Answer{Body: []byte(refusal), Refusal: refused}, nil},
		{"stream", 200, "text/event-stream", token + "id: 2\ndata: [DONE]\n\n", client.Answer{Text: "one", Tokens: 1}, nil},
		{
			"crossed", 200, "text/event-stream", strings.Replace(token, "d.1", "d.2", 1) + "data: [DONE]\n\n",
			client.Answer{Text: "one", Tokens: 1, WrongID: true},
			nil,
		},
		{"truncated stream", 200, "text/event-stream", token, client.Answer{Text: "one", Tokens: 1}, client.ErrTruncated},
		{
			"refused stream", 200, "text/event-stream", token + "event: error\ndata: " + refusal + "\n\n",
			client.Answer{Text: "one", Tokens: 1, Refusal: refused},
			nil,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				is.Equal(r.Header.Get("Authorization"), "Bearer k")
				w.Header().Set("Content-Type", tt.kind)
				w.Header().Set("Fireflypath-Request", "d.1")
				w.WriteHeader(tt.status)
				fmt.Fprint(w, tt.body)
			}))
			defer s.Close()
			c := client.New(s.Listener.Addr().String())
			firsts := 0
			got, err := c.Do(t.Context(), &client.Request{Path: "/v1/completions", Token: "k", OnFirstByte: func() { firsts++ }})
			is.True(errors.Is(err, tt.err))
			tt.want.Status, tt.want.ID = tt.status, "d.1"
			is.Equal(*got, tt.want)
			is.Equal(firsts, 1)
		})
	}
}

// The daemon reads a request and its connection breaks. A client that sent it
// again by itself would run a delivery twice; the caller has to decide.
func TestDoSendsOnce(t *testing.T) {
	is := is.New(t)
	var n atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	c := client.New(s.Listener.Addr().String())
	_, err := c.Do(t.Context(), &client.Request{Method: http.MethodGet, Path: "/services/p/x"})
	is.NoErr(err)
	_, err = c.Do(t.Context(), &client.Request{Method: http.MethodGet, Path: "/services/p/x"})
	is.True(errors.Is(err, client.ErrTruncated))
	is.Equal(n.Load(), int32(2))
	s.Close()
	_, err = c.Do(t.Context(), &client.Request{Path: "/services/p/x"})
	is.True(errors.Is(err, client.ErrUnsent))
}
