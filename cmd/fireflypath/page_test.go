package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/configuration"
	"github.com/fireflypath/fireflypath/internal/daemon"
	"github.com/fireflypath/fireflypath/internal/fake/engine"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

// page runs the examples of docs/OPERATORS.md.
type page struct {
	t     *testing.T
	store *testkit.MapStore
	// vars are what earlier examples printed: $TEAM, $ID, …
	vars map[string]string
	keys map[string]string
}

// fence matches an example, comment one of the test's own instructions.
var (
	fence    = regexp.MustCompile("(?ms)^```console\n(.*?)^```|^<!-- (.*?) -->")
	shown    = regexp.MustCompile(`key of (\w+) (\w+), shown only now: (fp_\S+)`)
	finished = regexp.MustCompile(`^done (\w+)`)
	quoted   = regexp.MustCompile(`'([^']*)'|(\S+)`)
)

func TestOperatorsPage(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../../docs/OPERATORS.md")
	is.NoErr(err)
	p := newPage(t)
	for _, m := range fence.FindAllStringSubmatch(string(text), -1) {
		if m[2] != "" {
			p.instruct(m[2])
			continue
		}
		for _, example := range strings.Split("\n"+strings.TrimSpace(m[1]), "\n$ ")[1:] {
			p.check(example)
		}
	}
}

func newPage(t *testing.T) *page {
	is := is.New(t)
	clock := clockwork.NewRealClock()
	p := &page{t: t, store: testkit.NewMapStore(clock), vars: map[string]string{}, keys: map[string]string{}}
	for _, name := range []string{"E1", "E2"} {
		e, err := engine.New(engine.Config{}, clock)
		is.NoErr(err)
		t.Cleanup(func() { _ = e.Close() })
		p.vars[name] = e.Addr()
	}
	reg := configuration.New(p.store, nil, "d1", clock, tally.NoopScope, zap.NewNop())
	is.NoErr(reg.Poll(t.Context()))
	cfg := testkit.Settings(nil)
	cfg.Name = "d1"
	d, err := daemon.New(cfg, daemon.Deps{Store: p.store, Configs: reg, Committer: reg, Clock: clock})
	is.NoErr(err)
	is.NoErr(d.Start(t.Context()))
	t.Cleanup(d.Kill)
	t.Setenv("FIREFLYPATH_AT", d.OperatorAddr())
	t.Setenv("FIREFLYPATH_KEY", "")
	p.vars["CALLERS"] = d.CallerAddr()
	return p
}

// instruct follows a comment of the page.
func (p *page) instruct(what string) {
	switch what {
	case "key ana":
		p.t.Setenv("FIREFLYPATH_KEY", p.keys["ana"])
	case "service down":
		p.store.SetFault(func(string, string) testkit.Fault { return testkit.Fault{Before: fireflypath.ErrUnavailable} })
	case "service up":
		p.store.SetFault(nil)
	case "service loses the next answer and goes down":
		var lost atomic.Bool
		p.store.SetFault(func(op, key string) testkit.Fault {
			if lost.Load() {
				return testkit.Fault{Before: fireflypath.ErrUnavailable}
			}
			if op == "put" && !strings.Contains(key, "chunk") {
				lost.Store(true)
				return testkit.Fault{After: fireflypath.ErrUnknown}
			}
			return testkit.Fault{}
		})
	default:
		p.t.Fatalf("the page holds an unknown instruction %q", what)
	}
}

func (p *page) check(example string) {
	line, want, _ := strings.Cut(example, "\n")
	line = os.Expand(line, func(name string) string { return p.vars[name] })
	var args []string
	for _, m := range quoted.FindAllStringSubmatch(line, -1) {
		args = append(args, m[1]+m[2])
	}
	var got string
	switch args[0] {
	case "fireflypath":
		got = p.client(args)
	case "curl":
		got = p.curl(args[1:])
	default:
		p.t.Fatalf("the page runs %q", args[0])
	}
	p.learn(got)
	if !matches(strings.TrimSpace(got), strings.TrimSpace(want)) {
		p.t.Errorf("$ %s\ngot:\n%s\nwant:\n%s", line, got[:min(len(got), 2000)], want)
	}
}

// client runs a command line in this process.
func (p *page) client(args []string) string {
	var b bytes.Buffer
	root := &cli.Command{Name: "fireflypath", Commands: commands(), Writer: &b, ErrWriter: &b}
	if err := root.Run(context.Background(), args); err != nil {
		fmt.Fprintf(&b, "fireflypath: %v\nexit %d\n", err, exitCode(err))
	}
	return b.String()
}

func (p *page) curl(args []string) string {
	is := is.New(p.t)
	req, err := http.NewRequest(http.MethodPost, args[len(args)-1], nil)
	is.NoErr(err)
	for i := 0; i+1 < len(args); i += 2 {
		switch args[i] {
		case "-d":
			req.Body = io.NopCloser(strings.NewReader(args[i+1]))
		case "-H":
			name, value, _ := strings.Cut(args[i+1], ": ")
			req.Header.Set(name, value)
		}
	}
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	is.NoErr(err)
	p.vars["ID"] = res.Header.Get("Fireflypath-Request")
	return string(body)
}

// learn keeps the keys that are shown, the hash of the first one in a list, and
// the id of the last command done.
func (p *page) learn(got string) {
	for _, m := range shown.FindAllStringSubmatch(got, -1) {
		p.keys[m[2]] = m[3]
		if m[1] == "team" && p.vars["TEAM"] == "" {
			p.vars["TEAM"] = m[3]
		}
	}
	if m := finished.FindStringSubmatch(got); m != nil {
		p.vars["DONE"] = m[1]
	}
	if strings.HasPrefix(got, "HASH") {
		p.vars["OLD"] = strings.Fields(strings.Split(got, "\n")[1])[0]
	}
}

// matches compares with runs of blanks as one; … matches any text, and a line
// that begins and ends with it any number of lines.
func matches(got, want string) bool {
	got, want = blanks(got), blanks(want)
	parts := strings.Split(want, "…")
	for i := range parts {
		parts[i] = regexp.QuoteMeta(parts[i])
	}
	return regexp.MustCompile(`(?s)^` + strings.Join(parts, `.*?`) + `$`).MatchString(got)
}

func blanks(s string) string {
	lines := strings.Split(s, "\n")
	for i := range lines {
		lines[i] = strings.Join(strings.Fields(lines[i]), " ")
	}
	return strings.Join(lines, "\n")
}
