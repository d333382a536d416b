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

// docRunner runs the examples in docs/OPERATORS.md.
type docRunner struct {
	t     *testing.T
	store *testkit.MapStore
	// vars holds values printed by earlier examples: $TEAM, $ID, …
	vars map[string]string
	keys map[string]string
}

// examplePattern matches an example or a comment with an instruction for the test.
var (
	examplePattern = regexp.MustCompile("(?ms)^```console\n(.*?)^```|^<!-- (.*?) -->")
	keyPattern     = regexp.MustCompile(`key of (\w+) (\w+), shown only now: (fp_\S+)`)
	donePattern    = regexp.MustCompile(`^done (\w+)`)
	argPattern     = regexp.MustCompile(`'([^']*)'|(\S+)`)
)

func TestOperatorsDocExamples(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../../docs/OPERATORS.md")
	is.NoErr(err)
	r := newDocRunner(t)
	for _, m := range examplePattern.FindAllStringSubmatch(string(text), -1) {
		if m[2] != "" {
			r.followInstruction(m[2])
			continue
		}
		for _, example := range strings.Split("\n"+strings.TrimSpace(m[1]), "\n$ ")[1:] {
			r.checkExample(example)
		}
	}
}

func newDocRunner(t *testing.T) *docRunner {
	is := is.New(t)
	clock := clockwork.NewRealClock()
	r := &docRunner{t: t, store: testkit.NewMapStore(clock), vars: map[string]string{}, keys: map[string]string{}}
	for _, name := range []string{"E1", "E2"} {
		e, err := engine.New(engine.Config{}, clock)
		is.NoErr(err)
		t.Cleanup(func() { _ = e.Close() })
		r.vars[name] = e.Addr()
	}
	configs := configuration.New(r.store, nil, "d1", clock, tally.NoopScope, zap.NewNop())
	is.NoErr(configs.Poll(t.Context()))
	cfg := testkit.Settings(nil)
	cfg.Name = "d1"
	d, err := daemon.New(cfg, daemon.Deps{Store: r.store, Configs: configs, Committer: configs, Clock: clock})
	is.NoErr(err)
	is.NoErr(d.Start(t.Context()))
	t.Cleanup(d.Kill)
	t.Setenv("FIREFLYPATH_AT", d.OperatorAddr())
	t.Setenv("FIREFLYPATH_KEY", "")
	r.vars["CALLERS"] = d.CallerAddr()
	return r
}

// followInstruction executes an instruction in a comment of the document.
func (r *docRunner) followInstruction(instruction string) {
	switch instruction {
	case "key ana":
		r.t.Setenv("FIREFLYPATH_KEY", r.keys["ana"])
	case "service down":
		r.store.SetFault(func(string, string) testkit.Fault { return testkit.Fault{Before: fireflypath.ErrUnavailable} })
	case "service up":
		r.store.SetFault(nil)
	case "service loses the next answer and goes down":
		var lost atomic.Bool
		r.store.SetFault(func(op, key string) testkit.Fault {
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
		r.t.Fatalf("unknown instruction %q in the document", instruction)
	}
}

func (r *docRunner) checkExample(example string) {
	line, want, _ := strings.Cut(example, "\n")
	line = os.Expand(line, func(name string) string { return r.vars[name] })
	var args []string
	for _, m := range argPattern.FindAllStringSubmatch(line, -1) {
		args = append(args, m[1]+m[2])
	}
	var got string
	switch args[0] {
	case "fireflypath":
		got = r.runClient(args)
	case "curl":
		got = r.runCurl(args[1:])
	default:
		r.t.Fatalf("the document runs the unknown program %q", args[0])
	}
	r.recordVars(got)
	if !matches(strings.TrimSpace(got), strings.TrimSpace(want)) {
		r.t.Errorf("$ %s\ngot:\n%s\nwant:\n%s", line, got[:min(len(got), 2000)], want)
	}
}

// runClient runs a command line of the client in this process.
func (r *docRunner) runClient(args []string) string {
	var b bytes.Buffer
	root := &cli.Command{Name: "fireflypath", Commands: commands(), Writer: &b, ErrWriter: &b}
	if err := root.Run(context.Background(), args); err != nil {
		fmt.Fprintf(&b, "fireflypath: %v\nexit %d\n", err, exitCode(err))
	}
	return b.String()
}

func (r *docRunner) runCurl(args []string) string {
	is := is.New(r.t)
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
	r.vars["ID"] = res.Header.Get("Fireflypath-Request")
	return string(body)
}

// recordVars records the printed keys, the first hash of a list and the id of the last
// completed command.
func (r *docRunner) recordVars(got string) {
	for _, m := range keyPattern.FindAllStringSubmatch(got, -1) {
		r.keys[m[2]] = m[3]
		if m[1] == "team" && r.vars["TEAM"] == "" {
			r.vars["TEAM"] = m[3]
		}
	}
	if m := donePattern.FindStringSubmatch(got); m != nil {
		r.vars["DONE"] = m[1]
	}
	if strings.HasPrefix(got, "HASH") {
		r.vars["OLD"] = strings.Fields(strings.Split(got, "\n")[1])[0]
	}
}

// matches compares two texts, ignoring the amount of whitespace. … matches any text,
// including any number of lines.
func matches(got, want string) bool {
	got, want = collapseSpaces(got), collapseSpaces(want)
	parts := strings.Split(want, "…")
	for i := range parts {
		parts[i] = regexp.QuoteMeta(parts[i])
	}
	return regexp.MustCompile(`(?s)^` + strings.Join(parts, `.*?`) + `$`).MatchString(got)
}

func collapseSpaces(s string) string {
	lines := strings.Split(s, "\n")
	for i := range lines {
		lines[i] = strings.Join(strings.Fields(lines[i]), " ")
	}
	return strings.Join(lines, "\n")
}
