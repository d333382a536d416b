package daemon_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestCompleteAndStreamedAnswers(t *testing.T) {
	is := is.New(t)
	r := newTestDaemon(t, options{})
	r.assertComplete(r.stream(3), 3)

	got := r.post("/v1/completions", `{"model":"m","prompt":"hello","max_tokens":3}`)
	is.Equal(got.status, http.StatusOK)
	is.True(strings.Contains(got.text, `"completion_tokens":3`))

	got = r.post("/v1/completions", `{"model":"none","prompt":"hello"}`)
	is.Equal(got.status, http.StatusNotFound)
}
