package soak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath/internal/soak"
)

// Three real daemons are killed, stopped and cut off between callers and
// targets that fail too. Whatever happens, no promise is broken.
func TestShortSoak(t *testing.T) {
	play(t, soak.Options{Seed: 11})
}

// The same, while one caller's request ends each target that begins to run it.
func TestShortSoakWithADeadlyRequest(t *testing.T) {
	play(t, soak.Options{Seed: 12, PoisonRequest: true})
}

func play(t *testing.T, o soak.Options) {
	t.Helper()
	is := is.New(t)
	o.Dir = t.TempDir()
	o.Program = filepath.Join(o.Dir, "fireflypathd")
	o.Duration, o.Daemons, o.Targets, o.Callers = 4*time.Second, 3, 4, 8
	out, err := exec.Command("go", "build", "-o", o.Program, "../../cmd/fireflypathd").CombinedOutput()
	if err != nil {
		t.Fatalf("build the daemon: %s", out)
	}
	res, err := soak.Run(t.Context(), o)
	is.NoErr(err)
	is.True(res.Requests > 0)
	for _, b := range res.Violations {
		t.Error(b)
	}
}
