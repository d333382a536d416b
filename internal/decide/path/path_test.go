package path_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath/internal/decide/path"
)

var start = time.Unix(1000, 0)

// Guards against dials that all wait for a lost path, and against a path that works again and is never
// tried.
func TestLostPathIsProbed(t *testing.T) {
	is := is.New(t)
	p := path.New()
	is.Equal(p.Choose(start, "a"), path.Direct)
	is.True(p.Failed(start, "a"))
	probes := 0
	for at := start; at.Before(start.Add(10 * time.Second)); at = at.Add(20 * time.Millisecond) {
		switch p.Choose(at, "a") {
		case path.Direct:
			t.Fatal("the lost path is tried alone")
		case path.Probe:
			probes++
			is.True(!p.Failed(at, "a"))
		case path.Indirect:
			is.True(p.Lost(at, "a"))
		}
	}
	is.True(probes >= 4 && probes <= 8)
	is.True(p.Worked("a"))
	is.Equal(p.Choose(start.Add(10*time.Second), "a"), path.Direct)
}

// Guards against a daemon without paths that finds out for each target by itself, and loses a request
// at each.
func TestIsolationIsInferred(t *testing.T) {
	is := is.New(t)
	p := path.New()
	p.Failed(start, "a")
	is.True(!p.Isolated(start)) // one target may be down
	is.True(p.Trusted(start, "c", start.Add(-time.Second)))
	p.Broke(start.Add(100*time.Millisecond), "b")
	at := start.Add(200 * time.Millisecond)
	is.True(p.Isolated(at))
	is.Equal(p.Choose(at, "c"), path.Probe)
	is.True(!p.Trusted(at, "c", start.Add(-time.Second))) // idle since before the losses
	is.True(p.Trusted(at, "c", start.Add(time.Millisecond)))
	p.Worked("c")
	is.True(!p.Isolated(at))
	is.True(!p.Trusted(at, "a", start.Add(-time.Second)))
}

// Guards against isolation that ends by the passing of time while it lasts.
func TestIsolationLastsWhilePathsFail(t *testing.T) {
	is := is.New(t)
	p := path.New()
	for i := range 60 {
		at := start.Add(time.Duration(i) * time.Second)
		p.Failed(at, fmt.Sprint("t", i%3))
		is.Equal(p.Isolated(at), i > 0)
	}
	is.True(!p.Isolated(start.Add(time.Hour)))
}

// Guards against targets that crash one after the other under a request and are taken for lost paths,
// so that nobody finds the request out: others answer meanwhile.
func TestAnswersShowThatPathsWork(t *testing.T) {
	is := is.New(t)
	p := path.New()
	p.Broke(start, "a")
	p.Answered()
	p.Broke(start.Add(time.Second), "b")
	is.True(!p.Isolated(start.Add(time.Second)))
	p.Failed(start.Add(2*time.Second), "a")
	is.True(p.Isolated(start.Add(2 * time.Second)))
	p.Answered()
	is.True(!p.Isolated(start.Add(2 * time.Second)))
	is.True(p.Lost(start.Add(2*time.Second), "a")) // new connections to it still fail
}

// Guards against memory of targets that are gone.
func TestForgetsRemovedTargets(t *testing.T) {
	is := is.New(t)
	p := path.New()
	p.Failed(start, "a")
	p.Failed(start, "b")
	p.Retain(map[string]bool{"b": true})
	is.Equal(p.Choose(start, "a"), path.Direct)
	is.True(!p.Isolated(start))
}
