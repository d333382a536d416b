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
	is := is.New(t)
	dir := t.TempDir()
	program := filepath.Join(dir, "fireflypathd")
	out, err := exec.Command("go", "build", "-o", program, "../../cmd/fireflypathd").CombinedOutput()
	if err != nil {
		t.Fatalf("build the daemon: %s", out)
	}
	res, err := soak.Run(t.Context(), soak.Options{
		Program: program, Seed: 11, For: 4 * time.Second, Daemons: 3, Targets: 4, Callers: 8, Dir: dir,
	})
	is.NoErr(err)
	is.True(res.Requests > 0)
	for _, b := range res.Broken {
		t.Error(b)
	}
}
