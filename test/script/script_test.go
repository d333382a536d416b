// Package script runs the scenarios in testdata with real processes.
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

// waitLimit limits each wait for the output or the exit of a process.
const waitLimit = 60 * time.Second

// binDir is the directory of the programs under test.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "script")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir, "../../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	binDir = dir
	return m.Run()
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", binDir+string(filepath.ListSeparator)+env.Getenv("PATH"))
			env.Values[processesKey] = processes{}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"launch":       cmdLaunch,
			"post":         cmdPost,
			"postmany":     cmdPostMany,
			"capture":      cmdCapture,
			"eventually":   cmdEventually,
			"concurrently": cmdConcurrently,
			"launchas":     cmdLaunchAs,
			"signal":       cmdSignal,
			"exited":       cmdExited,
			"expand":       cmdExpand,
			"postbg":       cmdPostBackground,
			"answer":       cmdAnswer,
			"get":          cmdGet,
			"getuntil":     cmdGetUntil,
			"answers":      cmdAnswers,
		},
	})
}

// cmdLaunch implements "launch PATTERN PROGRAM ARGS", which starts a process and waits for
// a line of its output that matches. The pattern's named groups become variables.
// The process is terminated at the end of the script.
func cmdLaunch(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: launch PATTERN PROGRAM ARGS")
	}
	launch(ts, args)
}

func launch(ts *testscript.TestScript, args []string) *process {
	cmd := exec.Command(filepath.Join(binDir, args[1]), args[2:]...)
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
	ts.Defer(func() { terminate(ts, p) })
	awaitLine(ts, lines, regexp.MustCompile(args[0]))
	close(awaited)
	return p
}

func awaitLine(ts *testscript.TestScript, lines <-chan string, want *regexp.Regexp) {
	limit := time.After(waitLimit)
	for {
		select {
		case line, ok := <-lines:
			if !ok {
				ts.Fatalf("the process exited before a line matched %s", want)
			}
			ts.Logf("%s", line)
			setDemoVariables(ts, line)
			if want.MatchString(line) {
				setGroupVariables(ts, want, line)
				return
			}
		case <-limit:
			ts.Fatalf("no line matched %s within %s", want, waitLimit)
		}
	}
}

// Lines that the demo prints at its start.
var (
	platformLine = regexp.MustCompile(`^platform +http://(\S+)$`)
	daemonLine   = regexp.MustCompile(`^(\w+) +callers (\S+)  operators (\S+)$`)
)

// setDemoVariables sets PLATFORM, or NAME_CALLERS and NAME_OPERATORS, if the line is one
// that the demo prints at its start.
func setDemoVariables(ts *testscript.TestScript, line string) {
	if m := platformLine.FindStringSubmatch(line); m != nil {
		ts.Setenv("PLATFORM", m[1])
	}
	if m := daemonLine.FindStringSubmatch(line); m != nil {
		ts.Setenv(m[1]+"_CALLERS", m[2])
		ts.Setenv(m[1]+"_OPERATORS", m[3])
	}
}

// setGroupVariables sets a variable for each named group and reports whether the text matches.
func setGroupVariables(ts *testscript.TestScript, re *regexp.Regexp, text string) bool {
	m := re.FindStringSubmatch(text)
	for i, name := range re.SubexpNames() {
		if m != nil && name != "" {
			ts.Setenv(name, m[i])
		}
	}
	return m != nil
}

func terminate(ts *testscript.TestScript, p *process) {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(waitLimit, func() { _ = p.cmd.Process.Kill() })
	defer kill.Stop()
	<-p.done
	if p.err != nil {
		ts.Logf("%s: %v", p.cmd.Path, p.err)
	}
}

// response is the response to a caller.
type response struct {
	status int
	id     string
	body   []byte
}

// postRequest sends a request with a team's key. The header slice alternates names and values.
func postRequest(url, key, body string, header []string) (response, error) {
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		return response{}, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, err
	}
	defer res.Body.Close()
	return readResponse(res)
}

func readResponse(res *http.Response) (response, error) {
	text, err := io.ReadAll(res.Body)
	return response{status: res.StatusCode, id: res.Header.Get("Fireflypath-Request"), body: text}, err
}

// cmdPost implements "post STATUS URL KEY BODY [HEADER VALUE ...]", which sends a request
// and expects the status. It sets ID if a daemon responded and writes the response
// body to the file "answer".
func cmdPost(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 4 {
		ts.Fatalf("usage: post STATUS URL KEY BODY [HEADER VALUE ...]")
	}
	r, err := postRequest(args[1], args[2], args[3], args[4:])
	ts.Check(err)
	if r.id != "" {
		ts.Setenv("ID", r.id)
	}
	ts.Check(os.WriteFile(ts.MkAbs("answer"), r.body, 0o600))
	if strconv.Itoa(r.status) != args[0] {
		ts.Fatalf("status %d, want %s: %s", r.status, args[0], r.body)
	}
}

// cmdPostMany implements "postmany N PATTERN URL KEY BODY [HEADER VALUE ...]", which sends
// N concurrent requests, waits for all of them, and takes ID and the file "answer"
// from a response whose body matches.
func cmdPostMany(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 5 {
		ts.Fatalf("usage: postmany N PATTERN URL KEY BODY [HEADER VALUE ...]")
	}
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	replies := make([]response, n)
	var wg sync.WaitGroup
	for i := range replies {
		// A failed request leaves an empty body, which is not expected to match.
		wg.Go(func() { replies[i], _ = postRequest(args[2], args[3], args[4], args[5:]) })
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
	ts.Fatalf("none of %d responses matched %s; the first was %s", n, want, replies[0].body)
}

// cmdCapture implements "capture PATTERN [FILE]", which sets a variable for each named
// group found in a file, or by default in the output of the last program.
func cmdCapture(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 1 || len(args) > 2 {
		ts.Fatalf("usage: capture PATTERN [FILE]")
	}
	file := "stdout"
	if len(args) == 2 {
		file = args[1]
	}
	if !setGroupVariables(ts, regexp.MustCompile(args[0]), ts.ReadFile(file)) {
		ts.Fatalf("no match for %s", args[0])
	}
}

// cmdConcurrently implements "concurrently FLAGS -- FLAGS", which runs two clients at the
// same time. The files "out" and "err" hold the output of both, the file "codes"
// their exit codes in ascending order.
func cmdConcurrently(ts *testscript.TestScript, neg bool, args []string) {
	i := slices.Index(args, "--")
	if neg || i < 0 {
		ts.Fatalf("usage: concurrently FLAGS -- FLAGS")
	}
	var out, errs [2]bytes.Buffer
	var codes [2]int
	var wg sync.WaitGroup
	for n, flags := range [][]string{args[:i], args[i+1:]} {
		cmd := exec.Command(filepath.Join(binDir, "fireflypath"), flags...)
		cmd.Env = append(os.Environ(),
			"FIREFLYPATH_AT="+ts.Getenv("FIREFLYPATH_AT"), "FIREFLYPATH_KEY="+ts.Getenv("FIREFLYPATH_KEY"))
		cmd.Stdout, cmd.Stderr = &out[n], &errs[n]
		wg.Go(func() {
			// Only the exit code matters; it is -1 if the program did not run.
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

// pollInterval is the pause between two attempts of eventually and getuntil.
const pollInterval = 50 * time.Millisecond

// cmdEventually implements "eventually PATTERN PROGRAM ARGS", which runs a program until its
// output matches.
func cmdEventually(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: eventually PATTERN PROGRAM ARGS")
	}
	want := regexp.MustCompile(args[0])
	for limit := time.Now().Add(waitLimit); time.Now().Before(limit); time.Sleep(pollInterval) {
		if err := ts.Exec(args[1], args[2:]...); err == nil && want.MatchString(ts.ReadFile("stdout")) {
			return
		}
	}
	ts.Fatalf("no output matched %s within %s", want, waitLimit)
}
