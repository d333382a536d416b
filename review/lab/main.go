// Command review-lab plays the scripted cases of the second review: real daemons on loopback
// addresses, with stand-ins of the store, the targets and the callers in this process.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario plays one case and reports whether the rule was broken.
type scenario func(w *world, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"idle":    playIdle,
	"smuggle": playSmuggle,
	"surge":   playSurge,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-lab CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play runs a scenario and writes its record into the folder.
func play(s scenario, folder string, trouble bool) int {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer f.Close()
	w, err := newWorld(f)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	broken, err := s(w, trouble)
	switch {
	case err != nil:
		w.rec.note("the case could not run: %v", err)
		return exitFailed
	case broken:
		w.rec.note("result: the rule was broken")
		return exitBroken
	}
	w.rec.note("result: the rule held")
	return exitHeld
}
