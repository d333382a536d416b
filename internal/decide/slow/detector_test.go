package slow

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// From one moment on a target answers ten times slower. It must be ejected within a
// few answers, receive one probe after the ejection, and be ready after a good
// answer.
func TestStragglerEjectedAndReadmittedByProbe(t *testing.T) {
	is := is.New(t)
	var d Detector
	for range 20 {
		d.ObserveAnswer(start, 1, 1)
	}
	is.Equal(d.State(), Ready)
	n := 0
	for d.State() != Ejected {
		d.ObserveAnswer(start, 10, 1)
		n++
	}
	is.True(n <= 3)
	is.Equal(d.ProbeAt(), start.Add(minEjection))
	d.StartProbe()
	is.Equal(d.State(), Probing)
	d.ObserveAnswer(start, 10, 1)
	is.Equal(d.State(), Ejected)
	is.Equal(d.ProbeAt(), start.Add(2*minEjection))
	d.StartProbe()
	d.ObserveAnswer(start, 1, 1)
	is.Equal(d.State(), Ready)
}

// All targets slow down together in an overload, so none of them is a straggler.
func TestOverloadEjectsNoTarget(t *testing.T) {
	is := is.New(t)
	var d Detector
	for range 50 {
		d.ObserveAnswer(start, 8, 8)
	}
	is.Equal(d.State(), Ready)
}
