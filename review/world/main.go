// Command world runs one case of the review: real daemons between stand-ins of the platform's store,
// of replicas and of requesters, all on loopback addresses.
//
// It exits with 0 if the rule held, with 1 if it was broken and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitFailed
)

// options are the command line's.
type options struct {
	// program is the daemon's executable, template the template of its settings.
	program, template string
	// dir is the folder for settings and logs.
	dir string
	// trouble is false if the disruption is left out.
	trouble bool
}

func main() {
	var o options
	var name, recordFile string
	flag.StringVar(&name, "case", "", "case to run")
	flag.StringVar(&recordFile, "record", "", "file for what was sent, answered and run")
	flag.StringVar(&o.program, "program", "target/fireflypathd", "daemon's executable")
	flag.StringVar(&o.template, "template", "deploy/settings.jsonc", "template of the daemons' settings")
	flag.StringVar(&o.dir, "dir", "", "folder for settings and logs")
	flag.BoolVar(&o.trouble, "trouble", true, "include the disruption")
	flag.Parse()
	os.Exit(run(name, recordFile, o))
}

// run runs one case and returns the exit code.
func run(name, recordFile string, o options) int {
	cases := map[string]func(*world) (string, error){"keys": revokeAllKeys, "storm": changeLargeConfig}
	fn, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitFailed
	}
	rec, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	w, err := newWorld(o, rec)
	if err != nil {
		rec.note("the case could not run: %v", err)
		return exitFailed
	}
	defer w.stop()
	w.stopOnSignal()
	violation, err := fn(w)
	switch {
	case err != nil:
		rec.note("the case could not run: %v", err)
		return exitFailed
	case violation != "":
		rec.note("RULE BROKEN: %s", violation)
		return exitBroken
	}
	rec.note("the rule held")
	return exitHeld
}

// stopOnSignal ends all that the case started if a signal ends the case.
func (w *world) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		w.stop()
		w.record.close()
		os.Exit(exitFailed)
	}()
}
