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
	tokenEvent = "id: 1\ndata: {\"id\":\"d.1\",\"choices\":[{\"text\":\"one\"}]}\n\n"
	refusal    = `{"code":"target-failed","reason":"it died","run":"unknown","retry_after_ms":1500,"request":"d.1"}`
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
		{"stream", 200, "text/event-stream", tokenEvent + "id: 2\ndata: [DONE]\n\n", client.Answer{Text: "one", Tokens: 1}, nil},
		{
			"wrong id", 200, "text/event-stream", strings.Replace(tokenEvent, "d.1", "d.2", 1) + "data: [DONE]\n\n",
			client.Answer{Text: "one", Tokens: 1, WrongID: true},
			nil,
		},
		{"truncated stream", 200, "text/event-stream", tokenEvent, client.Answer{Text: "one", Tokens: 1}, client.ErrTruncated},
		{
			"refused stream", 200, "text/event-stream", tokenEvent + "event: error\ndata: " + refusal + "\n\n",
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
			firstByteCalls := 0
			got, err := c.Do(t.Context(), &client.Request{Path: "/v1/completions", Token: "k", OnFirstByte: func() { firstByteCalls++ }})
			is.True(errors.Is(err, tt.err))
			tt.want.Status, tt.want.ID = tt.status, "d.1"
			is.Equal(*got, tt.want)
			is.Equal(firstByteCalls, 1)
		})
	}
}

// The daemon reads a request and its connection breaks. If the client sent the request
// again on its own, a delivery would run twice. Only the caller can decide to retry.
func TestDoSendsOnce(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	c := client.New(s.Listener.Addr().String())
	_, err := c.Do(t.Context(), &client.Request{Method: http.MethodGet, Path: "/services/p/x"})
	is.NoErr(err)
	_, err = c.Do(t.Context(), &client.Request{Method: http.MethodGet, Path: "/services/p/x"})
	is.True(errors.Is(err, client.ErrTruncated))
	is.Equal(calls.Load(), int32(2))
	s.Close()
	_, err = c.Do(t.Context(), &client.Request{Path: "/services/p/x"})
	is.True(errors.Is(err, client.ErrUnsent))
}
