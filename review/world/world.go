package main

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/fireflypath/fireflypath/internal/loopback"
	"github.com/fireflypath/fireflypath/platform"
)

// readyTimeout limits the time until all daemons are ready.
const readyTimeout = 30 * time.Second

// world is a small deployment.
type world struct {
	options
	record  *record
	store   *kvStore
	storeLn net.Listener
	daemons []*daemon
	targets []*target
}

func newWorld(o options, r *record) (*world, error) {
	ln, err := net.Listen("tcp", loopback.ListenAddr())
	if err != nil {
		return nil, err
	}
	w := &world{options: o, record: r, store: newStore(), storeLn: ln}
	go func() { _ = http.Serve(ln, w.store) }() // it ends with the listener
	return w, nil
}

// write has the operator write a configuration and returns the time of the acknowledgement.
func (w *world) write(name string, config []byte) time.Time {
	w.store.Put(platform.Codec{}.ConfigKey(), config)
	at := time.Now()
	w.record.note("the store acknowledges %s, %d bytes", name, len(config))
	return at
}

// addTargets starts replicas of a service, one in each zone.
func (w *world) addTargets(service string, slots, n int) error {
	for range n {
		i := len(w.targets)
		t, err := newTarget(fmt.Sprintf("i-%s-%d", service, i), service, w.record)
		if err != nil {
			return err
		}
		w.targets = append(w.targets, t)
		if err := w.register(t, service, zones[i%len(zones)], slots); err != nil {
			return err
		}
	}
	return nil
}

// startDaemons starts a daemon in each zone and waits until all are ready.
func (w *world) startDaemons(n int) error {
	var seeds []string
	for i := range n {
		d, err := newDaemon(w, i)
		if err != nil {
			return err
		}
		w.daemons = append(w.daemons, d)
		seeds = append(seeds, d.control)
	}
	for _, d := range w.daemons {
		if err := d.start(seeds); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, d := range w.daemons {
		for !d.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.record.note("%d daemons are ready", n)
	return nil
}

// stop ends all that the case started.
func (w *world) stop() {
	for _, d := range w.daemons {
		d.kill()
	}
	for _, t := range w.targets {
		t.close()
	}
	w.storeLn.Close()
}
