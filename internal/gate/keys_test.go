package gate_test

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
)

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Guards against a gate that asks for no key once no valid one is left: the operator takes the last
// key away, and everybody is served from then on.
func TestConfigWithoutValidKeysAdmitsNobody(t *testing.T) {
	cases := map[string][]fireflypath.Team{
		"no team":               nil,
		"team without keys":     {{Name: "red"}},
		"keys that are no hash": {{Name: "red", Keys: []fireflypath.Key{{Hash: "secret"}, {Hash: ""}}}},
		"hash of no key":        {{Name: "red", Keys: []fireflypath.Key{{Hash: hashOf("")}}}},
	}
	for name, teams := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startSite(t, func(cfg *fireflypath.Config) {
				public := route("public", "/public/", fireflypath.FormWhole, fireflypath.RepeatSafe)
				public.Public = true
				cfg.Routes = append(cfg.Routes, public)
				cfg.Teams = teams
			}, answerWhole)
			for _, sent := range []string{key, "never known", ""} {
				r := s.request(t.Context(), "/once/", "")
				r.Header.Set("T-Key", sent)
				resp, _, err := s.do(r)
				is.NoErr(err)
				is.Equal(resp.StatusCode, 401)
			}
			is.Equal(len(s.requests()), 0)
			resp, _, err := s.post("/public/", "")
			is.NoErr(err)
			is.Equal(resp.StatusCode, 200)
		})
	}
}

// Guards against keys that are not checked where none is needed: the operator removes all teams, or
// has added them and this daemon is cut off, and requests with a key that nobody holds are run.
func TestAnonymousConfigChecksKeysThatAreSent(t *testing.T) {
	cases := map[string]struct {
		key  string
		age  time.Duration
		want int
	}{
		"no key":               {"", 0, 200},
		"no key, stale view":   {"", 2 * time.Minute, 200},
		"unheld key":           {key, 0, 401},
		"any key, stale view":  {key, 2 * time.Minute, 503},
		"any key, ageing view": {key, 45 * time.Second, 503},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startSite(t, func(cfg *fireflypath.Config) { cfg.Teams, cfg.AllowsAnonymous = nil, true }, answerWhole)
			s.freshness.age = c.age
			r := s.request(t.Context(), "/once/", "")
			r.Header.Set("T-Key", c.key)
			resp, _, err := s.do(r)
			is.NoErr(err)
			is.Equal(resp.StatusCode, c.want)
		})
	}
}

// Guards against a daemon that knows targets but no configuration yet, and that refuses all requests as
// ones for routes that do not exist instead of as not run.
func TestTargetsAloneAreNoConfiguration(t *testing.T) {
	is := is.New(t)
	s := startSite(t, func(cfg *fireflypath.Config) { cfg.Version, cfg.Routes, cfg.Teams = 0, nil, nil }, answerWhole)
	resp, _, err := s.post("/once/", "")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 503)
}
