package script

import (
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// processes maps the names that a script gives to its processes and background requests.
type processes map[string]*process

type process struct {
	cmd *exec.Cmd
	// done is closed when the process has exited and its output was read.
	done chan struct{}
	err  error
}

const processesKey = "processes"

func findProcess(ts *testscript.TestScript, name string) *process {
	p := ts.Value(processesKey).(processes)[name]
	if p == nil {
		ts.Fatalf("no process or background request is named %s", name)
	}
	return p
}

// cmdLaunchAs implements "launchas NAME PATTERN PROGRAM ARGS", which is launch for a
// process that later commands refer to by name.
func cmdLaunchAs(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: launchas NAME PATTERN PROGRAM ARGS")
	}
	ts.Value(processesKey).(processes)[args[0]] = launch(ts, args[1:])
}

// cmdSignal implements "signal SIGNAL NAME"; STOP and CONT pause and resume a process.
func cmdSignal(ts *testscript.TestScript, neg bool, args []string) {
	signals := map[string]syscall.Signal{"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}
	if neg || len(args) != 2 || signals[args[0]] == 0 {
		ts.Fatalf("usage: signal TERM|KILL|STOP|CONT NAME")
	}
	ts.Check(findProcess(ts, args[1]).cmd.Process.Signal(signals[args[0]]))
}

// cmdExited implements "[!] exited NAME", which waits until a process exits and expects
// success, or a failure after "!".
func cmdExited(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: [!] exited NAME")
	}
	p := findProcess(ts, args[0])
	<-p.done
	if (p.err != nil) != neg {
		ts.Fatalf("%s exited with error: %v", args[0], p.err)
	}
}

// cmdExpand implements "expand FILE", which replaces $NAME in a file with the script's variables.
func cmdExpand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: expand FILE")
	}
	text := os.Expand(ts.ReadFile(args[0]), ts.Getenv)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}

// cmdPostBackground implements "postbg NAME URL KEY BODY [HEADER VALUE ...]", which sends
// a request in the background. The response body, followed by a line "cut" if the
// request failed, is written to the file NAME, for the commands answer and answers.
func cmdPostBackground(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 4 {
		ts.Fatalf("usage: postbg NAME URL KEY BODY [HEADER VALUE ...]")
	}
	p := &process{done: make(chan struct{})}
	ts.Value(processesKey).(processes)[args[0]] = p
	file := ts.MkAbs(args[0])
	go func() {
		defer close(p.done)
		r, err := postRequest(args[1], args[2], args[3], args[4:])
		if err != nil {
			r.body = append(r.body, "\ncut\n"...)
		}
		p.err = os.WriteFile(file, r.body, 0o600)
	}()
}

// cmdAnswer implements "[!] answer NAME PATTERN", which waits for the answer to a
// background request and matches it.
func cmdAnswer(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: [!] answer NAME PATTERN")
	}
	p := findProcess(ts, args[0])
	<-p.done
	ts.Check(p.err)
	text := ts.ReadFile(args[0])
	if regexp.MustCompile(args[1]).MatchString(text) == neg {
		ts.Fatalf("unexpected answer to %s: %s", args[0], text)
	}
}

// cmdAnswers implements "answers NAME NAME PATTERN PATTERN", which expects that one of two
// answers matches the first pattern and the other one the second.
func cmdAnswers(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 4 {
		ts.Fatalf("usage: answers NAME NAME PATTERN PATTERN")
	}
	var text [2]string
	for i := range text {
		p := findProcess(ts, args[i])
		<-p.done
		ts.Check(p.err)
		text[i] = ts.ReadFile(args[i])
	}
	one, other := regexp.MustCompile(args[2]), regexp.MustCompile(args[3])
	if one.MatchString(text[0]) && other.MatchString(text[1]) || one.MatchString(text[1]) && other.MatchString(text[0]) {
		return
	}
	ts.Fatalf("unexpected answers: %q", text)
}

// cmdGetUntil implements "getuntil PATTERN URL", which reads a page until it matches.
func cmdGetUntil(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: getuntil PATTERN URL")
	}
	want := regexp.MustCompile(args[0])
	for limit := time.Now().Add(waitLimit); time.Now().Before(limit); time.Sleep(pollInterval) {
		res, err := http.Get(args[1])
		if err != nil {
			continue
		}
		r, err := readResponse(res)
		_ = res.Body.Close()
		if err == nil && want.Match(r.body) {
			return
		}
	}
	ts.Fatalf("no response matched %s within %s", want, waitLimit)
}

// cmdGet implements "get STATUS URL", which expects a page with the status.
func cmdGet(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: get STATUS URL")
	}
	res, err := http.Get(args[1])
	ts.Check(err)
	defer res.Body.Close()
	if !strings.HasPrefix(res.Status, args[0]) {
		ts.Fatalf("status %s, want %s", res.Status, args[0])
	}
}
