// Package script runs scripted scenarios with real processes.
package script

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// patience bounds each wait for a process's output or end.
const patience = 60 * time.Second

// bin is the directory of the programs under test.
var bin string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "script")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir, "../../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	bin = dir
	return m.Run()
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", bin+string(filepath.ListSeparator)+env.Getenv("PATH"))
			env.Values[processesKey] = processes{}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"up":      up,
			"post":    post,
			"flood":   flood,
			"capture": capture,
			"soon":    soon,
			"both":    both,
			"start":   start,
			"signal":  signal,
			"ended":   ended,
			"expand":  expand,
			"later":   later,
			"answer":  answer,
			"get":     get,
			"page":    page,
			"either":  either,
		},
	})
}

// up LAST PROGRAM ARGS starts a process and waits for an output line that
// matches LAST, whose named groups become variables. The process gets a signal at
// the script's end.
func up(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: up LAST PROGRAM ARGS")
	}
	launch(ts, args)
}

func launch(ts *testscript.TestScript, args []string) *process {
	cmd := exec.Command(filepath.Join(bin, args[1]), args[2:]...)
	cmd.Dir = ts.MkAbs(".")
	out, err := cmd.StdoutPipe()
	ts.Check(err)
	cmd.Stderr = cmd.Stdout
	ts.Check(cmd.Start())
	lines := make(chan string)
	p := &process{cmd: cmd, done: make(chan struct{})}
	awaited := make(chan struct{})
	go func() {
		defer close(p.done)
		for s := bufio.NewScanner(out); s.Scan(); {
			select {
			case lines <- s.Text():
			case <-awaited:
			}
		}
		close(lines)
		p.err = cmd.Wait()
	}()
	ts.Defer(func() { end(ts, p) })
	await(ts, lines, regexp.MustCompile(args[0]))
	close(awaited)
	return p
}

func await(ts *testscript.TestScript, lines <-chan string, last *regexp.Regexp) {
	limit := time.After(patience)
	for {
		select {
		case line, ok := <-lines:
			if !ok {
				ts.Fatalf("the process ended before it printed %s", last)
			}
			ts.Logf("%s", line)
			daemon(ts, line)
			if last.MatchString(line) {
				learn(ts, last, line)
				return
			}
		case <-limit:
			ts.Fatalf("no line like %s within %s", last, patience)
		}
	}
}

// platform and addresses are lines of the demo.
var (
	platform  = regexp.MustCompile(`^platform +http://(\S+)$`)
	addresses = regexp.MustCompile(`^(\w+) +callers (\S+)  operators (\S+)$`)
)

// daemon sets PLATFORM, or NAME_CALLERS and NAME_OPERATORS, from a line of the demo.
func daemon(ts *testscript.TestScript, line string) {
	if m := platform.FindStringSubmatch(line); m != nil {
		ts.Setenv("PLATFORM", m[1])
	}
	if m := addresses.FindStringSubmatch(line); m != nil {
		ts.Setenv(m[1]+"_CALLERS", m[2])
		ts.Setenv(m[1]+"_OPERATORS", m[3])
	}
}

// learn sets a variable for each named group.
func learn(ts *testscript.TestScript, re *regexp.Regexp, text string) bool {
	m := re.FindStringSubmatch(text)
	for i, name := range re.SubexpNames() {
		if m != nil && name != "" {
			ts.Setenv(name, m[i])
		}
	}
	return m != nil
}

func end(ts *testscript.TestScript, p *process) {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(patience, func() { _ = p.cmd.Process.Kill() })
	defer kill.Stop()
	<-p.done
	if p.err != nil {
		ts.Logf("%s: %v", p.cmd.Path, p.err)
	}
}

// reply is a caller's answer.
type reply struct {
	status int
	id     string
	body   []byte
}

// call sends a request with a team's key; more arguments are headers, each with
// its value.
func call(url, key, body string, header []string) (reply, error) {
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer res.Body.Close()
	return drain(res)
}

func drain(res *http.Response) (reply, error) {
	text, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, id: res.Header.Get("Fireflypath-Request"), body: text}, err
}

// post STATUS URL KEY BODY HEADERS sends one request, expects the status, and
// sets ID if a daemon answered. The answer's body is in the file "answer".
func post(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 4 {
		ts.Fatalf("usage: post STATUS URL KEY BODY [HEADER VALUE ...]")
	}
	r, err := call(args[1], args[2], args[3], args[4:])
	ts.Check(err)
	if r.id != "" {
		ts.Setenv("ID", r.id)
	}
	ts.Check(os.WriteFile(ts.MkAbs("answer"), r.body, 0o600))
	if strconv.Itoa(r.status) != args[0] {
		ts.Fatalf("status %d, want %s: %s", r.status, args[0], r.body)
	}
}

// flood N PATTERN URL KEY BODY HEADERS sends N requests at once, waits for all
// answers, and sets ID and the file "answer" from one whose body matches.
func flood(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 5 {
		ts.Fatalf("usage: flood N PATTERN URL KEY BODY [HEADER VALUE ...]")
	}
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	replies := make([]reply, n)
	var wg sync.WaitGroup
	for i := range replies {
		// A broken connection leaves an empty body, which matches nothing.
		wg.Go(func() { replies[i], _ = call(args[2], args[3], args[4], args[5:]) })
	}
	wg.Wait()
	want := regexp.MustCompile(args[1])
	for _, r := range replies {
		if want.Match(r.body) {
			ts.Setenv("ID", r.id)
			ts.Check(os.WriteFile(ts.MkAbs("answer"), r.body, 0o600))
			return
		}
	}
	ts.Fatalf("none of %d answers matches %s; the first: %s", n, want, replies[0].body)
}

// capture PATTERN FILE sets a variable for each named group found in a file, or
// in the last program's output if none is named.
func capture(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 1 || len(args) > 2 {
		ts.Fatalf("usage: capture PATTERN [FILE]")
	}
	file := "stdout"
	if len(args) == 2 {
		file = args[1]
	}
	if !learn(ts, regexp.MustCompile(args[0]), ts.ReadFile(file)) {
		ts.Fatalf("no match for %s", args[0])
	}
}

// both FLAGS -- FLAGS runs the client twice at once. The files "out" and "err"
// hold what the two print, and the file "codes" their exit codes in order.
func both(ts *testscript.TestScript, neg bool, args []string) {
	i := slices.Index(args, "--")
	if neg || i < 0 {
		ts.Fatalf("usage: both FLAGS -- FLAGS")
	}
	var out, errs [2]bytes.Buffer
	var codes [2]int
	var wg sync.WaitGroup
	for n, flags := range [][]string{args[:i], args[i+1:]} {
		cmd := exec.Command(filepath.Join(bin, "fireflypath"), flags...)
		cmd.Env = append(os.Environ(),
			"FIREFLYPATH_AT="+ts.Getenv("FIREFLYPATH_AT"), "FIREFLYPATH_KEY="+ts.Getenv("FIREFLYPATH_KEY"))
		cmd.Stdout, cmd.Stderr = &out[n], &errs[n]
		wg.Go(func() {
			// The exit code is what counts; it is -1 if the program did not run.
			_ = cmd.Run()
			codes[n] = cmd.ProcessState.ExitCode()
		})
	}
	wg.Wait()
	slices.Sort(codes[:])
	ts.Check(os.WriteFile(ts.MkAbs("out"), append(out[0].Bytes(), out[1].Bytes()...), 0o600))
	ts.Check(os.WriteFile(ts.MkAbs("err"), append(errs[0].Bytes(), errs[1].Bytes()...), 0o600))
	ts.Check(os.WriteFile(ts.MkAbs("codes"), fmt.Appendln(nil, codes[0], codes[1]), 0o600))
}

// pause is the time between two tries of soon.
const pause = 50 * time.Millisecond

// soon PATTERN PROGRAM ARGS runs a program until its output matches.
func soon(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: soon PATTERN PROGRAM ARGS")
	}
	want := regexp.MustCompile(args[0])
	for limit := time.Now().Add(patience); time.Now().Before(limit); time.Sleep(pause) {
		if err := ts.Exec(args[1], args[2:]...); err == nil && want.MatchString(ts.ReadFile("stdout")) {
			return
		}
	}
	ts.Fatalf("no output like %s within %s", want, patience)
}
