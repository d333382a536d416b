package daemon_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath/internal/daemon"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

func engine(tokens int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		w.Header().Set("X-Request-Id", id)
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range tokens {
			fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"index\":0,\"text\":\"t%d \"}]}\n\n", i+1, id, i)
			w.(http.Flusher).Flush()
		}
		fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", tokens+1)
	}
}

func start(t *testing.T, engines, services []string) *daemon.Daemon {
	is := is.New(t)
	d, err := daemon.New(testkit.Settings(testkit.Config(engines, services)), daemon.Deps{})
	is.NoErr(err)
	is.NoErr(d.Start(t.Context()))
	t.Cleanup(d.Kill)
	return d
}

// reply is an answer that was read whole.
type reply struct {
	status int
	header http.Header
	text   string
}

func post(t *testing.T, d *daemon.Daemon, path, body string, header ...string) reply {
	is := is.New(t)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+d.CallerAddr()+path, strings.NewReader(body))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+testkit.Token)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	return reply{status: resp.StatusCode, header: resp.Header, text: string(text)}
}

func TestAnswersWholeAndStreamed(t *testing.T) {
	is := is.New(t)
	e := httptest.NewServer(engine(3))
	defer e.Close()
	d := start(t, []string{e.Listener.Addr().String()}, nil)

	r := post(t, d, "/v1/completions", `{"model":"m","prompt":"hello","max_tokens":3}`)
	is.Equal(r.status, 200)
	is.True(strings.Contains(r.text, `"text":"t0 t1 t2 "`))

	r = post(t, d, "/v1/completions", `{"model":"m","prompt":"hello","stream":true}`)
	is.Equal(r.status, 200)
	is.Equal(strings.Count(r.text, "data: "), 4)
	is.True(strings.HasSuffix(r.text, "data: [DONE]\n\n"))

	r = post(t, d, "/v1/completions", `{"model":"none","prompt":"hello"}`)
	is.Equal(r.status, 404)
}
