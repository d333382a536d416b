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

// processes are those that a script started by name.
type processes map[string]*process

type process struct {
	cmd *exec.Cmd
	// done is closed when the process has ended and its output was read.
	done chan struct{}
	err  error
}

const processesKey = "processes"

func named(ts *testscript.TestScript, name string) *process {
	p := ts.Value(processesKey).(processes)[name]
	if p == nil {
		ts.Fatalf("no process %s was started", name)
	}
	return p
}

// start NAME LAST PROGRAM ARGS is up for a process that gets signals later.
func start(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: start NAME LAST PROGRAM ARGS")
	}
	ts.Value(processesKey).(processes)[args[0]] = launch(ts, args[1:])
}

// signal SIGNAL NAME sends a signal; STOP and CONT pause a process.
func signal(ts *testscript.TestScript, neg bool, args []string) {
	signals := map[string]syscall.Signal{"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}
	if neg || len(args) != 2 || signals[args[0]] == 0 {
		ts.Fatalf("usage: signal TERM|KILL|STOP|CONT NAME")
	}
	ts.Check(named(ts, args[1]).cmd.Process.Signal(signals[args[0]]))
}

// ended NAME waits for the process's end, which is without an error, or with
// one after !.
func ended(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: [!] ended NAME")
	}
	p := named(ts, args[0])
	<-p.done
	if (p.err != nil) != neg {
		ts.Fatalf("%s ended with %v", args[0], p.err)
	}
}

// expand FILE replaces $NAME in a file by the script's variables.
func expand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: expand FILE")
	}
	text := os.Expand(ts.ReadFile(args[0]), ts.Getenv)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}

// later NAME URL KEY BODY HEADERS sends a request in the background. Its
// answer, or the word cut, is awaited by answer.
func later(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 4 {
		ts.Fatalf("usage: later NAME URL KEY BODY [HEADER VALUE ...]")
	}
	p := &process{done: make(chan struct{})}
	ts.Value(processesKey).(processes)[args[0]] = p
	file := ts.MkAbs(args[0])
	go func() {
		defer close(p.done)
		r, err := call(args[1], args[2], args[3], args[4:])
		if err != nil {
			r.body = append(r.body, "\ncut\n"...)
		}
		p.err = os.WriteFile(file, r.body, 0o600)
	}()
}

// answer NAME PATTERN waits for what later sent and matches its answer.
func answer(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: [!] answer NAME PATTERN")
	}
	p := named(ts, args[0])
	<-p.done
	ts.Check(p.err)
	text := ts.ReadFile(args[0])
	if regexp.MustCompile(args[1]).MatchString(text) == neg {
		ts.Fatalf("the answer to %s is %s", args[0], text)
	}
}

// either A B P Q expects that one of two answers matches P and the other Q.
func either(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 4 {
		ts.Fatalf("usage: either NAME NAME PATTERN PATTERN")
	}
	var text [2]string
	for i := range text {
		p := named(ts, args[i])
		<-p.done
		ts.Check(p.err)
		text[i] = ts.ReadFile(args[i])
	}
	one, other := regexp.MustCompile(args[2]), regexp.MustCompile(args[3])
	if one.MatchString(text[0]) && other.MatchString(text[1]) || one.MatchString(text[1]) && other.MatchString(text[0]) {
		return
	}
	ts.Fatalf("the answers are %q", text)
}

// page PATTERN URL reads a page until it matches.
func page(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: page PATTERN URL")
	}
	want := regexp.MustCompile(args[0])
	for limit := time.Now().Add(patience); time.Now().Before(limit); time.Sleep(pause) {
		res, err := http.Get(args[1])
		if err != nil {
			continue
		}
		r, err := drain(res)
		_ = res.Body.Close()
		if err == nil && want.Match(r.body) {
			return
		}
	}
	ts.Fatalf("no page like %s within %s", want, patience)
}

// get STATUS URL expects a page with the status.
func get(ts *testscript.TestScript, neg bool, args []string) {
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
