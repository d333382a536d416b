package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/fireflypath/fireflypath/platform"
)

var headers = platform.Codec{}.Headers()

// world holds the processes and the stand-ins of one case.
type world struct {
	rec *record
	// dir is a temporary folder for settings and logs.
	dir     string
	store   *store
	daemons []*daemon
	targets []*target
}

func newWorld(w io.Writer) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &world{rec: newRecord(w), dir: dir, store: s}, nil
}

// close ends all processes and stand-ins that the case has started.
func (w *world) close() {
	for _, d := range w.daemons {
		d.kill()
	}
	for _, t := range w.targets {
		t.close()
	}
	w.store.close()
	w.rec.flush()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

// startDaemons starts n daemons, in turn in each of the failure domains.
func (w *world) startDaemons(n int, domains []string) error {
	var seeds []string
	for i := range n {
		d, err := newDaemon(fmt.Sprintf("edge-%02d", i+1), domains[i%len(domains)])
		if err != nil {
			return err
		}
		w.daemons = append(w.daemons, d)
		if len(seeds) < maxSeeds {
			seeds = append(seeds, d.peers)
		}
	}
	for _, d := range w.daemons {
		if err := d.writeSettings(w.dir, w.store.addr, seeds); err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
	}
	return nil
}

// maxSeeds is the number of seeds that the platform names.
const maxSeeds = 3

// awaitReady waits until all daemons say that they are ready.
func (w *world) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, d := range w.daemons {
		for !d.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", d.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// putConfig writes a configuration as the operator does.
func (w *world) putConfig(file string) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	codec := platform.Codec{}
	if _, err := codec.Config(b); err != nil {
		return err
	}
	w.store.Put(codec.ConfigKey(), b)
	return nil
}

// startTargets starts and registers n targets.
func (w *world) startTargets(n, slots int, work time.Duration) error {
	for i := range n {
		t, err := newTarget(w.rec, fmt.Sprintf("i-%d", i+1), slots, work)
		if err != nil {
			return err
		}
		w.targets = append(w.targets, t)
		if err := w.store.PutTarget(t.registration); err != nil {
			return err
		}
	}
	return nil
}
