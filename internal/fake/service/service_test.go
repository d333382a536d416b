package service_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath/internal/fake/fault"
	"github.com/fireflypath/fireflypath/internal/fake/service"
)

func TestCallFaults(t *testing.T) {
	tests := []struct {
		fault  fault.Name
		status int // 0: no response
		id     string
		runs   int
	}{
		{fault: fault.Clear, status: 200, id: "d.1", runs: 1},
		{fault: fault.ReadClose},
		{fault: fault.DieOnText},
		{fault: fault.Draining, status: 503, id: "d.1"},
		{fault: fault.NotRun, status: 503, id: "d.1"},
		{fault: fault.Break, runs: 1},
		{fault: fault.WrongID, status: 200, id: "other-d.1", runs: 1},
	}
	for _, tt := range tests {
		t.Run(string(tt.fault), func(t *testing.T) {
			is := is.New(t)
			s, err := service.New(service.Config{}, clockwork.NewRealClock())
			is.NoErr(err)
			defer s.Close()
			is.NoErr(s.Fault(fault.Fault{Name: tt.fault, Text: "at"}))
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
				"http://"+s.Addr()+"/packets/7?to=a", strings.NewReader("data"))
			is.NoErr(err)
			r.Header.Set("X-Request-Id", "d.1")
			r.Header.Set("Idempotency-Key", "k")
			resp, err := http.DefaultTransport.RoundTrip(r)
			is.Equal(err == nil, tt.status != 0)
			if err == nil {
				defer resp.Body.Close()
				is.Equal(resp.StatusCode, tt.status)
				is.Equal(resp.Header.Get("X-Request-Id"), tt.id)
				body, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				var e service.Echo
				is.NoErr(json.Unmarshal(body, &e))
				if tt.status == 200 {
					is.Equal(e, service.Echo{Method: "POST", Path: "/packets/7", Query: "to=a", Key: "k", Body: "data", Run: 1})
				}
			}
			c := s.Counts()
			is.Equal([]int{c.Dispatches["d.1"], c.Runs["d.1"], c.Keys["k"]}, []int{1, tt.runs, tt.runs})
		})
	}
}
