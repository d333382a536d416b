package daemon_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath/internal/fake/engine"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

// Callers send invalid requests. Each must receive the reason with "not run", and no target may
// receive anything.
func TestInvalidInput(t *testing.T) {
	r := newTestDaemon(t, options{body: 1 << 10, header: 2 << 10})
	auth := "Authorization: Bearer " + testkit.Token + "\r\n"
	call := func(header, body string) string {
		return fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
	}
	good := completion(1)
	tests := []struct {
		name   string
		raw    string
		status int
		code   string
	}{
		{"no key", call("", good), 401, "unauthorized"},
		{"unknown key", call("Authorization: Bearer x\r\n", good), 401, "unauthorized"},
		{"other scheme", call("Authorization: Basic x\r\n", good), 401, "unauthorized"},
		{"unknown tier", call(auth+"Fireflypath-Tier: iron\r\n", good), 403, "forbidden"},
		{"unknown model", call(auth, `{"model":"x","prompt":"y"}`), 404, "no-pool"},
		{"unknown pool", "GET /services/none/a HTTP/1.1\r\nHost: x\r\n" + auth + "\r\n", 404, "no-pool"},
		{"engine pool as service", "GET /services/engines/a HTTP/1.1\r\nHost: x\r\n" + auth + "\r\n", 404, "no-pool"},
		{"unknown path", "GET /v2 HTTP/1.1\r\nHost: x\r\n\r\n", 404, "no-pool"},
		{"not JSON", call(auth, `{"model":`), 400, "malformed"},
		{"JSON of another kind", call(auth, `[1]`), 400, "malformed"},
		{"no prompt", call(auth, `{"model":"m"}`), 400, "malformed"},
		{"negative output", call(auth, `{"model":"m","prompt":"x","max_tokens":-1}`), 400, "malformed"},
		{"stream of another kind", call(auth, `{"model":"m","prompt":"x","stream":"yes"}`), 400, "malformed"},
		{"no deadline", call(auth+"Fireflypath-Deadline: soon\r\n", good), 400, "malformed"},
		{"negative deadline", call(auth+"Fireflypath-Deadline: -1s\r\n", good), 400, "malformed"},
		{"past deadline", call(auth+"Fireflypath-Deadline: 2020-01-01T00:00:00Z\r\n", good), 504, "deadline"},
		{"deadline of years", call(auth+"Fireflypath-Deadline: 99999h\r\n", good), 400, "malformed"},
		{"idempotent of another kind", call(auth+"Fireflypath-Idempotent: perhaps\r\n", good), 400, "malformed"},
		{"large body", call(auth, `{"model":"m","prompt":"`+strings.Repeat("x", 1<<10)+`"}`), 413, "too-large"},
		{"large chunked body", "POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + auth +
			"Transfer-Encoding: chunked\r\n\r\n800\r\n" + strings.Repeat("x", 1<<11) + "\r\n0\r\n\r\n", 413, "too-large"},
		{"large header", call(auth+"X-Large: "+strings.Repeat("x", 2<<10)+"\r\n", good), 431, "too-large"},
		{"many headers", call(auth+strings.Repeat("X-A: b\r\n", 1<<9), good), 431, "too-large"},
		{"not HTTP", "hello\r\n\r\n", 400, "malformed"},
		{"length of another kind", "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n", 400, "malformed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := r.sendRaw(tt.raw)
			is.Equal(got.status, tt.status)
			is.True(strings.Contains(got.text, `"code":"`+tt.code+`"`))
			is.True(strings.Contains(got.text, `"run":"no"`))
		})
	}
	is := is.New(t)
	is.Equal(len(r.engines[0].Counts().Dispatches), 0)
	is.Equal(len(r.services[0].Counts().Dispatches), 0)
}

// sendRaw sends bytes on a new connection and reads one answer.
func (r *testDaemon) sendRaw(text string) result {
	is := is.New(r.t)
	c, err := net.Dial("tcp", r.CallerAddr())
	is.NoErr(err)
	defer c.Close()
	_, err = c.Write([]byte(text))
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	return readResult(resp)
}

// More callers connect than the daemon has memory for. Those above the limit must receive a refusal
// immediately, because a connection that is just closed looks like a fault.
func TestTooManyConnections(t *testing.T) {
	is := is.New(t)
	r := newTestDaemon(t, options{connections: 1})
	first, err := net.Dial("tcp", r.CallerAddr())
	is.NoErr(err)
	defer first.Close()
	_, err = first.Write([]byte("GET /v2 HTTP/1.1\r\nHost: x\r\n\r\n"))
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(first), nil)
	is.NoErr(err)
	is.Equal(readResult(resp).status, http.StatusNotFound)

	second, err := net.Dial("tcp", r.CallerAddr())
	is.NoErr(err)
	defer second.Close()
	resp, err = http.ReadResponse(bufio.NewReader(second), nil)
	is.NoErr(err)
	got := readResult(resp)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(got.text, `"code":"full"`))
}

// Waiting large requests of a low tier use up the memory limit. A request of a higher tier displaces
// one of them; another of the low tier is refused.
func TestWaitingBytesLimit(t *testing.T) {
	is := is.New(t)
	r := newTestDaemon(t, options{engine: engine.Config{Decode: 10, Batch: 1}, window: 1, maxWaitingBytes: 2000})
	running, err := http.DefaultClient.Do(r.request(t.Context(), "/v1/completions", completion(1000)))
	is.NoErr(err)
	defer running.Body.Close()

	large := `{"model":"m","stream":true,"max_tokens":1,"prompt":"` + strings.Repeat("x", 1500) + `"}`
	low := make(chan result, 1)
	go func() { low <- r.post("/v1/completions", large, "Fireflypath-Tier", "bronze") }()
	r.awaitWaitingRequest()
	got := r.post("/v1/completions", large, "Fireflypath-Tier", "bronze")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(got.text, `"code":"full"`))

	done := r.background(r.request(t.Context(), "/v1/completions", large, "Fireflypath-Tier", "gold"))
	is.Equal((<-low).status, http.StatusServiceUnavailable)
	r.Kill()
	<-done
}
