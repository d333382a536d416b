package gate_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
)

// Guards against units of a quota that are given back for a request that ran, because its long answer
// broke off: the team runs more than its quota.
func TestQuotaIsKeptForBrokenAnswer(t *testing.T) {
	is := is.New(t)
	s := startSite(t, func(cfg *fireflypath.Config) {
		cfg.Teams[0].Quota = &fireflypath.Quota{Unit: fireflypath.UnitTokens, Rate: 1}
	}, func(n int, w http.ResponseWriter, r *http.Request) {
		if n > 1 {
			answerWhole(n, w, r)
			return
		}
		_, _ = io.WriteString(w, strings.Repeat("x", 1<<20))
		panic(http.ErrAbortHandler)
	})
	send := func(tokens int) (response, error) {
		r := s.request(t.Context(), "/once/", "")
		r.Header.Set("T-Tokens", strconv.Itoa(tokens)+",0")
		resp, _, err := s.do(r)
		return resp, err
	}
	_, err := send(1000) // the bucket is full, admits it and is empty then
	is.True(err != nil)
	resp, err := send(1)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 429)
}

// Guards against an answer that is no stream and is written into a stream that has begun, as its end: the
// caller takes a part of the answer for all of it.
func TestResumedStreamIsNotEndedByOtherAnswer(t *testing.T) {
	for name, second := range map[string]func(w http.ResponseWriter){
		"failure": func(w http.ResponseWriter) {
			w.WriteHeader(http.StatusNotFound)
			_, _ = io.WriteString(w, "no such prompt")
		},
		"document": func(w http.ResponseWriter) {
			w.Header().Set("Content-Type", "application/json")
			_, _ = io.WriteString(w, `{"error":"gone"}`)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startSite(t, nil, func(n int, w http.ResponseWriter, r *http.Request) {
				if n == 1 {
					writeRaw(w, r, http.StatusOK, frameChunked, endCut, eventText(1))
					return
				}
				second(w)
			})
			got := s.receive("HTTP/1.1", http.MethodPost, "/resume/x")
			is.Equal(got.body, eventText(1))
			is.Equal(got.ended, endedBroken)
		})
	}
}
