package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath/pkg/settings"
)

const validSettings = `{"name": "d", "domain": "x", "listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0"}`

// An operator mistypes a setting. If it were ignored, the daemon would run with a default
// that nobody chose. If only the first problem were reported, ten mistakes would take ten
// attempts.
func TestParseReportsAllProblems(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string
	}{
		{"unknown", validSettings + `, "lisen": 1}`, []string{`f:1:96: lisen: is not a setting`}},
		{"twice", validSettings + `, "name": "e"}`, []string{`f:1:96: name: is set twice`}},
		{"syntax", "{\n  \"name\" 1}", []string{`f:2:10: syntax: `}},
		{"missing", `{"name": "d", "domain": "x", "listen": {}}`, []string{
			`f:1:40: listen.callers: is missing`, `f:1:40: listen.operators: is missing`,
		}},
		{"all at once", "{\"name\": \"a b\",\n\"listen\": {\"callers\": \"x:1\", \"operators\": 5},\n\"limits\": {\"body\": -1, \"silence\": \"5\"}}", []string{
			`f:1:1: domain: is missing`,
			`f:1:10: name: holds one of the characters`,
			`f:2:23: listen.callers: is not an IP number and a port`,
			`f:2:43: listen.operators: is not a text`,
			`f:3:20: limits.body: is below the least, 0`,
			`f:3:35: limits.silence: cannot be read`,
		}},
		{"quarantine", validSettings + `, "gate": {"revoked": "5s", "force": "2s", "grace": "8s", "retries": {"window": "10s"},` +
			"\n" + `"quarantine": {"targets": 1, "time": "1ms", "of": true}}}`, []string{
			`f:2:27: gate.quarantine.targets: is below the least, 2`,
			`f:2:38: gate.quarantine.time: is below the least`,
			`f:2:45: gate.quarantine.of: is not a setting`,
		}},
		{"configuration", validSettings + `, "initial": {"pools": [{"name": "p", "kind": "service"}, {"name": "p", "kind": "service"}]}}`, []string{
			`f:1:152: initial.pools[1]: pool p is defined twice`,
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := settings.Parse("f", []byte(tt.text))
			var got settings.Problems
			is.True(errors.As(err, &got))
			is.Equal(len(got), len(tt.want))
			for i, want := range tt.want {
				if !strings.HasPrefix(got[i].Error(), want) {
					t.Errorf("got %q, want %q", got[i].Error(), want)
				}
			}
		})
	}
}

func TestExampleSettingsAreValid(t *testing.T) {
	files, err := filepath.Glob("../../settings/*.jsonc")
	is.New(t).NoErr(err)
	is.New(t).Equal(len(files), 2)
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			is := is.New(t)
			s, err := settings.Load(f)
			is.NoErr(err)
			is.Equal(len(s.Initial.Tiers), 3)
			is.Equal(len(s.Initial.Teams), 5)
			is.Equal(len(s.Initial.Targets), 15)
			domains := map[string]bool{}
			for _, target := range s.Initial.Targets {
				domains[target.Domain] = true
			}
			is.Equal(len(domains), 3)
		})
	}
}

func FuzzParse(f *testing.F) {
	for _, name := range []string{"pozo", "meelwerk"} {
		text, err := os.ReadFile("../../settings/" + name + ".jsonc")
		is.New(f).NoErr(err)
		f.Add(text)
	}
	f.Add([]byte(validSettings + `, "initial": {"teams": [{"keys": null}], "tiers": {}}, "records": [], "log": {}}`))
	f.Add([]byte(`{"listen": null, "peers": {"seeds": [1, null, {}], "tls": 1}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := settings.Parse("f", text)
		if err != nil {
			var p settings.Problems
			if !errors.As(err, &p) || len(p) == 0 {
				t.Fatalf("%v is not a non-empty list of problems", err)
			}
			return
		}
		if err := settings.Check(s); err != nil {
			t.Fatalf("Parse accepted the settings, but Check rejects them: %v", err)
		}
	})
}
